import { z } from 'zod';
import type { Config } from './config.js';
import type { ConfigRecord } from './state.js';

const Compiled = z.object({
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

const known = new WeakMap<ConfigRecord, Config>();

export const compiledConfig = (record: ConfigRecord | undefined): Config | undefined => {
  if (!record) return undefined;
  const old = known.get(record);
  if (old) return old;
  const config = Compiled.parse(JSON.parse(record.compiled));
  known.set(record, config);
  return config;
};

const longest = new WeakMap<Config, number>();

/** Twice the longest time that a route keeps its turns for, in ms; 0 without a configuration. */
export const turnRetentionLimitMs = (config: Config | undefined): number => {
  if (!config) return 0;
  const old = longest.get(config);
  if (old !== undefined) return old;
  const ms = 2 * Math.max(0, ...config.routes.map((l) => l.pass?.turnRetentionMs ?? 0));
  longest.set(config, ms);
  return ms;
};
