import { z } from 'zod';
import { OwnershipError, RpcError } from '@tillerstair/wire';

export const CallOutcome = z.object({
  outcome: z.enum(['done', 'refused', 'unknown']),
  status: z.number(),
  errorCode: z.string().optional(),
  text: z.string().optional(),
  retryAfter: z.number().optional(),
  body: z.unknown().optional(),
});
export type CallOutcome = z.infer<typeof CallOutcome>;

export const done = (body: unknown, status = 200): CallOutcome => ({
  outcome: 'done',
  status,
  body,
});

export const refused = (
  status: number,
  errorCode: string,
  text: string,
  retryAfter?: number,
): CallOutcome => ({
  outcome: 'refused',
  status,
  errorCode,
  text,
  ...(retryAfter === undefined ? {} : { retryAfter }),
});

export const unknown = (text: string, errorCode = 'unknown'): CallOutcome => ({
  outcome: 'unknown',
  status: 504,
  errorCode,
  text,
});

export const outcomeOfError = (m: RpcError): CallOutcome =>
  m.executed === 'no'
    ? refused(
        m.code === 'queue-full' ? 429 : 503,
        m.code,
        m.message,
        Math.max(1, Math.ceil(m.retryAfterMs / 1000)),
      )
    : unknown(m.message, m.code);

/** The front that took a request knows its route, but this one does not, or not any more: which of them is behind is not known. */
export const routeUnknown = (path: string): RpcError =>
  new OwnershipError('route-unknown', `this front holds no route for ${path}`, 'no', 300);

export const ProgramAsk = z.object({
  tenant: z.string(),
  pid: z.string(),
  budget: z.number().int().min(1).optional(),
  parent: z.string().optional(),
});
export type ProgramAsk = z.infer<typeof ProgramAsk>;

export const TurnAsk = z.object({
  tenant: z.string(),
  pid: z.string(),
  after: z.string().nullable(),
  path: z.string(),
  words: z.string(),
  maxTokens: z.number().int().min(1).optional(),
  key: z.string(),
  requestId: z.string().default(''),
});
export type TurnAsk = z.infer<typeof TurnAsk>;

export const HistoryAsk = z.object({
  tenant: z.string(),
  pid: z.string(),
  turn: z.string().optional(),
});
export type HistoryAsk = z.infer<typeof HistoryAsk>;

export const CallAsk = z.object({
  tenant: z.string(),
  path: z.string(),
  key: z.string(),
  body: z.string(),
  requestId: z.string().default(''),
});
export type CallAsk = z.infer<typeof CallAsk>;

export const ProgramValue = z.object({
  t: z.literal('program'),
  tenant: z.string(),
  budget: z.number(),
  parent: z.string().nullable(),
});
export type ProgramValue = z.infer<typeof ProgramValue>;

export const TurnValue = z.object({
  t: z.literal('turn'),
  status: z.enum(['reserved', 'done', 'failed', 'void']),
  after: z.string().nullable(),
  digest: z.string(),
  words: z.string(),
  pool: z.string(),
  server: z.string(),
  cost: z.number(),
  chunks: z.array(z.string()),
});
export type TurnValue = z.infer<typeof TurnValue>;

export const OpValue = z.object({
  t: z.literal('op'),
  status: z.enum(['intent', 'done', 'unknown', 'void']),
  digest: z.string(),
  code: z.number(),
  body: z.unknown(),
  /** Whether every server that it was sent to keeps its own record of keys. */
  recorded: z.boolean().default(false),
});
export type OpValue = z.infer<typeof OpValue>;

export const Cost = z.object({ cost: z.number() });

const Headers = z.array(z.tuple([z.string(), z.string()]));

/** A request on a pass route, as it goes to its owner. `left` is in ms; `body` is packed (base64). */
export const PassAsk = z.object({
  tenant: z.string(),
  host: z.string(),
  method: z.string(),
  path: z.string(),
  headers: Headers,
  body: z.string(),
  attempt: z.string(),
  key: z.string(),
  left: z.number(),
  program: z.string(),
  budget: z.number().nullable(),
  most: z.number(),
  parts: z.array(z.tuple([z.string(), z.number()])),
  after: z.string(),
  resume: z.string(),
});
export type PassAsk = z.infer<typeof PassAsk>;

/** A server's whole answer, as kept for a key and sent to the caller; `body` is packed. */
export const Passed = z.object({ status: z.number(), headers: Headers, body: z.string() });
export type Passed = z.infer<typeof Passed>;

/** A turn on a pass route: `input` as sent, packed; `output` the data of its events, a line feed behind each, a byte a character. */
export const PassTurn = z.object({
  t: z.literal('pass'),
  status: z.enum(['reserved', 'done', 'failed', 'void']),
  after: z.string(),
  cost: z.number(),
  input: z.string(),
  output: z.string(),
});
export type PassTurn = z.infer<typeof PassTurn>;

/** Bytes as they travel in JSON lines and lie on disk: base64, which costs a third more where escapes would double them. */
export const packed = (bytes: Uint8Array): string =>
  Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('base64');
export const unpacked = (text: string): Buffer => Buffer.from(text, 'base64');

export const passPath = (ask: PassAsk): string => `${ask.host}${ask.path.split('?')[0] ?? ''}`;
