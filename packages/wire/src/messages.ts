/**
 * Schemas of the JSON lines on a connection between two processes. The client side sends `HelloLine` first, then
 * requests and cancellations; the server side sends replies. See `docs/design.md`, section "Wire".
 */
import { z } from 'zod';
import { RpcErrorCodeOnWire } from './errors/index.js';

/** The first line of a connection: the client's own address, and the address that it connects to. */
export const HelloLine = z.object({ hello: z.string(), to: z.string() });

/** A request; `id` is unique on its connection. */
export const RequestLine = z.object({ id: z.number(), kind: z.string(), body: z.unknown() });

/** Cancels request `id`: the client no longer waits for its response. */
export const CancelLine = z.object({ id: z.number(), cancel: z.literal(true) });

/** A reply to request `id`: a chunk of the response, the final response, or an error. */
export const ReplyLine = z.object({
  id: z.number(),
  chunk: z.unknown().optional(),
  response: z.unknown().optional(),
  error: z
    .object({
      code: RpcErrorCodeOnWire,
      text: z.string(),
      executed: z.enum(['no', 'unknown', 'yes']),
    })
    .optional(),
});

/** Any message of the protocol, before it is encoded. */
export type WireLine =
  | z.input<typeof HelloLine>
  | z.input<typeof RequestLine>
  | z.input<typeof CancelLine>
  | z.input<typeof ReplyLine>;

/** Encodes a message as one line of JSON, with its line break. */
export const encodeLine = (message: WireLine): string => `${JSON.stringify(message)}\n`;
