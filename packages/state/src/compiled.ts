import { z } from 'zod';
import type { Config } from './config.js';
import type { ConfigRecord } from './state.js';

const Compiled = z.object({
  base: z.number(),
  pools: z.array(z.object({ name: z.string(), kind: z.enum(['model', 'service']) })),
  lanes: z.array(
    z.object({
      name: z.string(),
      match: z.object({ kind: z.enum(['turn', 'call']), path: z.string() }),
      acting: z.boolean(),
      urgent: z.boolean(),
      shares: z.array(z.object({ pool: z.string(), share: z.number() })),
    }),
  ),
  tuning: z.boolean(),
  budgets: z.object({ program: z.number(), turn: z.number() }),
  bounds: z.object({ turnMs: z.number(), callMs: z.number(), line: z.number(), perServer: z.number() }),
});

const known = new WeakMap<ConfigRecord, Config>();

export const compiledOf = (record: ConfigRecord | undefined): Config | undefined => {
  if (!record) return undefined;
  const old = known.get(record);
  if (old) return old;
  const config = Compiled.parse(JSON.parse(record.compiled));
  known.set(record, config);
  return config;
};
