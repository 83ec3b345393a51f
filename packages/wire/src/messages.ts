/**
 * The lines on a connection between two processes, as JSON. The opener sends `HelloLine` first, then requests and
 * cancellations; the other side sends replies. `docs/design.md`, section "Wire".
 */
import { z } from 'zod';
import { RpcErrorCodeOnWire } from './errors/index.js';

/** The first line: the opener's own address, and the address that it means to reach. */
export const HelloLine = z.object({ hello: z.string(), to: z.string() });

/** A request; `id` is unique on its connection. */
export const RequestLine = z.object({ id: z.number(), kind: z.string(), body: z.unknown() });

/** The opener no longer waits for the response to request `id`. */
export const CancelLine = z.object({ id: z.number(), cancel: z.literal(true) });

/** A chunk of the response, the response itself or an error, to request `id`. */
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

/** What can be written as one line. */
export type WireLine =
  | z.input<typeof HelloLine>
  | z.input<typeof RequestLine>
  | z.input<typeof CancelLine>
  | z.input<typeof ReplyLine>;

/** Writes a message as one line. */
export const encodeLine = (message: WireLine): string => `${JSON.stringify(message)}\n`;
