/**
 * What replicas store for programs, turns and operations. The schemas are on disk: their keys and values stay as they
 * are, and a value that does not parse is treated as one that is not there. For an operation this means that its key would
 * be sent again (`docs/gaps.md`, "Decisions to take").
 */
import { z } from 'zod';

/** A program, under `p/PROGRAM`. */
export const ProgramValue = z.object({
  t: z.literal('program'),
  tenant: z.string(),
  /** In tokens; a sub-program spends its root's. */
  budget: z.number(),
  parent: z.string().nullable(),
});
/** A program, as stored. */
export type ProgramValue = z.infer<typeof ProgramValue>;

/** A turn of the product's own interface, under `p/PROGRAM/t/TURN`. */
export const TurnValue = z.object({
  t: z.literal('turn'),
  status: z.enum(['reserved', 'done', 'failed', 'void']),
  after: z.string().nullable(),
  /** Of what it was asked with. */
  digest: z.string(),
  words: z.string(),
  pool: z.string(),
  server: z.string(),
  /** In tokens: reserved, or generated once it is done. */
  cost: z.number(),
  chunks: z.array(z.string()),
});
/** A turn of the product's own interface, as stored. */
export type TurnValue = z.infer<typeof TurnValue>;

/** A keyed operation, under `o/TENANT/KEY`. */
export const OpValue = z.object({
  t: z.literal('op'),
  status: z.enum(['intent', 'done', 'unknown', 'void']),
  /** Of what it was asked with. */
  digest: z.string(),
  /** The HTTP status of its result. */
  code: z.number(),
  body: z.unknown(),
  /** Whether every server that it was sent to keeps its own record of keys. */
  recorded: z.boolean().default(false),
});
/** A keyed operation, as stored. */
export type OpValue = z.infer<typeof OpValue>;

/** What every stored turn costs its program, in tokens. */
export const TurnCost = z.object({ cost: z.number() });

/**
 * A turn on a pass route, under `p/PROGRAM/t/ATTEMPT`: `input` as sent, in base64; `output` the data of its events, a
 * line feed behind each, a byte a character.
 */
export const PassTurn = z.object({
  t: z.literal('pass'),
  status: z.enum(['reserved', 'done', 'failed', 'void']),
  after: z.string(),
  /** In tokens: reserved, or generated once it is done. */
  cost: z.number(),
  input: z.string(),
  output: z.string(),
});
/** A turn on a pass route, as stored. */
export type PassTurn = z.infer<typeof PassTurn>;
