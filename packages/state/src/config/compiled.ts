/**
 * The compiled form of a configuration, as stored in the state: checked and with defaults filled in, so that nodes need
 * neither YAML nor the checks.
 */
import { z } from 'zod';
import type { ConfigRecord } from '../state.js';
import type { Config } from './schema.js';

const CompiledConfig = z.object({
  base: z.number(),
  version: z.number().optional(),
  pools: z.array(
    z.object({
      name: z.string(),
      kind: z.enum(['model', 'service']),
      connections: z.number(),
      remembersKeys: z.boolean(),
      check: z.string(),
      engine: z
        .object({ places: z.number(), memoryTokens: z.number(), blockTokens: z.number() })
        .optional(),
    }),
  ),
  routes: z.array(
    z.object({
      name: z.string(),
      match: z.object({
        kind: z.enum(['turn', 'call', 'pass']),
        host: z.string(),
        path: z.string(),
      }),
      acting: z.boolean(),
      urgent: z.boolean(),
      pass: z
        .object({
          manner: z.enum(['repeatable', 'once', 'keyed', 'stream']),
          tries: z.number(),
          deadlineMs: z.number(),
          aimMs: z.number(),
          rank: z.number(),
          turnRetentionMs: z.number(),
          resumable: z.boolean(),
          pauseMs: z.number(),
        })
        .optional(),
      shares: z.array(z.object({ pool: z.string(), share: z.number() })),
    }),
  ),
  tuning: z.boolean(),
  budgets: z.object({ program: z.number(), turn: z.number() }),
  bounds: z.object({
    turnMs: z.number(),
    callMs: z.number(),
    queue: z.number(),
    perServer: z.number(),
  }),
  limits: z.object({
    headerBytes: z.number(),
    bodyBytes: z.number(),
    headerWaitMs: z.number(),
    idleMs: z.number(),
  }),
});

const compiledByRecord = new WeakMap<ConfigRecord, Config>();

/** The configuration of a record, parsed once per record; undefined without a record. */
export const compiledConfig = (record: ConfigRecord | undefined): Config | undefined => {
  if (!record) return undefined;
  const cached = compiledByRecord.get(record);
  if (cached) return cached;
  const config = CompiledConfig.parse(JSON.parse(record.compiled));
  compiledByRecord.set(record, config);
  return config;
};

const retentionLimits = new WeakMap<Config, number>();

/** Twice the longest turn retention of any route, in ms; 0 without a configuration. */
export const turnRetentionLimitMs = (config: Config | undefined): number => {
  if (!config) return 0;
  const cached = retentionLimits.get(config);
  if (cached !== undefined) return cached;
  const longest = Math.max(0, ...config.routes.map((route) => route.pass?.turnRetentionMs ?? 0));
  const limit = 2 * longest;
  retentionLimits.set(config, limit);
  return limit;
};

/** Margin for the clocks and delays of owners and stores: a turn is kept this much longer than its route asks for. */
const requiredRetentionFactor = 1.25;
/** Share of `turnRetentionLimitMs` that the longest retention of a route is. */
const longestShareOfLimit = 1 / 2;

/** Time in ms for which turns must be kept even if memory is short; 0 if no route keeps turns. */
export const requiredTurnRetentionMs = (config: Config | undefined): number =>
  turnRetentionLimitMs(config) * longestShareOfLimit * requiredRetentionFactor;
