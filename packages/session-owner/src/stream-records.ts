/** Keys of streamed turns, as they are stored by replicas. */
import type { Route } from '@tillerstair/state';
import type { PassRequest } from './messages.js';

/** An id as it stands in keys: without `/`, and without `~`, which separates sub-programs. */
export const encodeKeyPart = (id: string): string => encodeURIComponent(id).replaceAll('~', '%7E');

/** The id that `encodeKeyPart` encoded. */
export const decodeKeyPart = (part: string): string => decodeURIComponent(part);

/** The program that a streamed request counts against: the one it names, or one of its own. */
export const streamProgram = (request: PassRequest): string =>
  `x-${encodeKeyPart(request.program === '' ? `a-${request.attempt}` : request.program)}`;

/** The key under which replicas store the turn of an attempt. */
export const streamTurnKey = (program: string, attempt: string): string =>
  `p/${program}/t/${encodeKeyPart(attempt)}`;

/** The slot key of a streamed request's owner; empty when any front may serve it. */
export const streamSlotKey = (request: PassRequest, route: Route): string =>
  request.program === '' && request.after === '' && (route.pass?.turnRetentionMs ?? 0) === 0
    ? ''
    : `p/${streamProgram(request)}`;
