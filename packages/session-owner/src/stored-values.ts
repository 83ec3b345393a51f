/**
 * Schemas of the values that replicas store for programs, turns and operations. Their property names and enum values
 * are on disk and must not change. A value that does not parse is treated as absent, except an operation's: it may have
 * run.
 */
import { z } from 'zod';

/** Schema of a program's record, stored under `p/PROGRAM`. */
export const ProgramValue = z.object({
  t: z.literal('program'),
  tenant: z.string(),
  /** In tokens; a sub-program spends the budget of its root program. */
  budget: z.number(),
  parent: z.string().nullable(),
});
/** A program's record. */
export type ProgramValue = z.infer<typeof ProgramValue>;

/** Schema of the record of a turn of the product's own interface, stored under `p/PROGRAM/t/TURN`. */
export const TurnValue = z.object({
  t: z.literal('turn'),
  status: z.enum(['reserved', 'done', 'failed', 'void']),
  /** The turn that this one follows; null for the first of a conversation. */
  after: z.string().nullable(),
  /** Digest of the request. */
  digest: z.string(),
  words: z.string(),
  pool: z.string(),
  server: z.string(),
  /** In tokens: those reserved, or those generated once the status is `done`. */
  cost: z.number(),
  chunks: z.array(z.string()),
});
/** The record of a turn of the product's own interface. */
export type TurnValue = z.infer<typeof TurnValue>;

/** Schema of a keyed operation's record, stored under `o/TENANT/KEY`. */
export const OpValue = z.object({
  t: z.literal('op'),
  status: z.enum(['intent', 'done', 'unknown', 'void']),
  /** Digest of the request. */
  digest: z.string(),
  /** HTTP status of the result. */
  code: z.number(),
  body: z.unknown(),
  /**
   * The only pool that may have run the operation, if that pool records idempotency keys; empty if the pool records none
   * or is not known. Replaces `recorded` of earlier versions, which did not name the pool: a record with `recorded` alone
   * is read with an empty pool, and an earlier version does not send an operation again whose record lacks `recorded`.
   */
  recordedBy: z.string().default(''),
});
/** A keyed operation's record. */
export type OpValue = z.infer<typeof OpValue>;

/** Schema of the cost that every turn's record has, in tokens. */
export const TurnCost = z.object({ cost: z.number() });

/**
 * Schema of the record of a turn on a pass route, stored under `p/PROGRAM/t/ATTEMPT`. `input` is the request body as
 * sent, in base64; `output` is the data of the response's events, each followed by a line feed, with one character per
 * byte.
 */
export const PassTurn = z.object({
  t: z.literal('pass'),
  status: z.enum(['reserved', 'done', 'failed', 'void']),
  /** The attempt that this turn follows; empty for the first of a conversation. */
  after: z.string(),
  /** In tokens: those reserved, or those generated once the status is `done`. */
  cost: z.number(),
  input: z.string(),
  output: z.string(),
});
/** The record of a turn on a pass route. */
export type PassTurn = z.infer<typeof PassTurn>;
