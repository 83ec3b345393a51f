/** Keys under which replicas store streamed turns. */
import type { Route } from '@tillerstair/state';
import type { PassRequest } from './messages.js';

/** Encodes an id for use in keys: the result has no `/`, and no `~`, which separates sub-programs. */
export const encodeKeyPart = (id: string): string => encodeURIComponent(id).replaceAll('~', '%7E');

/** Decodes an id that `encodeKeyPart` encoded. Throws a `URIError` if the text is not a valid encoding. */
export const decodeKeyPart = (part: string): string => decodeURIComponent(part);

/** The program whose budget a streamed request counts against: the one it names, or one named after the attempt. */
export const streamProgram = (request: PassRequest): string =>
  `x-${encodeKeyPart(request.program === '' ? `a-${request.attempt}` : request.program)}`;

/** The key of the record of an attempt's turn. */
export const streamTurnKey = (program: string, attempt: string): string =>
  `p/${program}/t/${encodeKeyPart(attempt)}`;

/** The key that determines the slot, and thus the owner, of a streamed request; empty if any front may serve it. */
export const streamSlotKey = (request: PassRequest, route: Route): string =>
  request.program === '' && request.after === '' && (route.pass?.turnRetentionMs ?? 0) === 0
    ? ''
    : `p/${streamProgram(request)}`;
