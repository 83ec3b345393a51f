/**
 * Schemas of the messages between fronts: requests to a slot's owner, and their outcomes. Property names and enum
 * values are part of the protocol.
 */
import { z } from 'zod';

/** Schema of the outcome of a request. */
export const CallOutcome = z.object({
  /** `refused` guarantees that the request did not run; `unknown` means that it may have run. */
  outcome: z.enum(['done', 'refused', 'unknown']),
  /** The HTTP status for the caller. */
  status: z.number(),
  errorCode: z.string().optional(),
  text: z.string().optional(),
  /** In seconds. */
  retryAfter: z.number().optional(),
  body: z.unknown().optional(),
});
/** The outcome of a request. */
export type CallOutcome = z.infer<typeof CallOutcome>;

/** Schema of a request to create a program; `budget` is in tokens. */
export const ProgramRequest = z.object({
  tenant: z.string(),
  pid: z.string(),
  budget: z.number().int().min(1).optional(),
  parent: z.string().optional(),
});
/** A request to create a program. */
export type ProgramRequest = z.infer<typeof ProgramRequest>;

/** Schema of a request for a turn of the product's own interface; `after` is the id of the turn that it follows. */
export const TurnRequest = z.object({
  tenant: z.string(),
  pid: z.string(),
  after: z.string().nullable(),
  path: z.string(),
  words: z.string(),
  maxTokens: z.number().int().min(1).optional(),
  key: z.string(),
  requestId: z.string().default(''),
});
/** A request for a turn of the product's own interface. */
export type TurnRequest = z.infer<typeof TurnRequest>;

/** Schema of a request to read a program or, with `turn`, one of its turns. */
export const HistoryRequest = z.object({
  tenant: z.string(),
  pid: z.string(),
  turn: z.string().optional(),
});
/** A request to read a program or one of its turns. */
export type HistoryRequest = z.infer<typeof HistoryRequest>;

/** Schema of a call of the product's own interface; `key` is empty without an Operation-Key header. */
export const CallRequest = z.object({
  tenant: z.string(),
  path: z.string(),
  key: z.string(),
  body: z.string(),
  requestId: z.string().default(''),
});
/** A call of the product's own interface. */
export type CallRequest = z.infer<typeof CallRequest>;

/** Receives the chunks of a response as they arrive; `index` counts from 0. */
export type EmitChunk = (index: number, text: string) => void;

const HeaderList = z.array(z.tuple([z.string(), z.string()]));

/** Schema of a request on a pass route, as forwarded to the slot's owner. */
export const PassRequest = z.object({
  tenant: z.string(),
  host: z.string(),
  method: z.string(),
  path: z.string(),
  headers: HeaderList,
  /** In base64. */
  body: z.string(),
  /** The caller's id of this attempt. */
  attempt: z.string(),
  key: z.string(),
  /** Remaining time of the request, in ms. */
  left: z.number(),
  program: z.string(),
  /** The program's budget as stated by the caller, in tokens; null if not stated. */
  budget: z.number().nullable(),
  /** Maximum cost of the response, in tokens. */
  most: z.number(),
  /** The parts of the prompt, each with its number of tokens. */
  parts: z.array(z.tuple([z.string(), z.number()])),
  /** The attempt that this turn follows; empty for the first of a conversation. */
  after: z.string(),
  /** Id of the last event that the caller received; empty for a stream from its start. */
  resume: z.string(),
});
/** A request on a pass route, as forwarded to the slot's owner. */
export type PassRequest = z.infer<typeof PassRequest>;

/** Schema of a server's complete response, as stored for a key and sent to the caller; `body` is in base64. */
export const ForwardedResponse = z.object({
  status: z.number(),
  headers: HeaderList,
  body: z.string(),
  /** Set if the response had neither a length nor chunks, so that its connection ended it (`ResponseHead`). */
  untilClose: z.literal(true).optional(),
});
/** A server's complete response, as stored for a key and sent to the caller. */
export type ForwardedResponse = z.infer<typeof ForwardedResponse>;

/** Encodes bytes for JSON, on the wire and on disk: base64 adds a third, where JSON escapes would double the size. */
export const encodeBody = (bytes: Uint8Array): string =>
  Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('base64');

/** Decodes the result of `encodeBody`. */
export const decodeBody = (text: string): Buffer => Buffer.from(text, 'base64');

/** The route path of a pass request: host and path, without the query. */
export const passRoutePath = (request: PassRequest): string =>
  `${request.host}${request.path.split('?')[0] ?? ''}`;
