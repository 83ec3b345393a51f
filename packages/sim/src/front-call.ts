/** A request to a front, from the caller's side: a front that is dead sends nothing more. */
import type { CallOutcome } from '@tillerstair/session-owner';
import type { Clock } from '@tillerstair/wire';
import type { Incarnation } from './incarnation.js';

const lossCheckMs = 50;
const callerTimeoutMs = 20000;

const frontLost: CallOutcome = { outcome: 'unknown', status: 0, errorCode: 'front-lost' };

/**
 * Resolves with the outcome of `send`, or with `front-lost` once the front's incarnation is dead or after the caller's
 * time-out, which also aborts the request.
 */
export const untilFrontAnswers = (
  clock: Clock,
  incarnation: Incarnation,
  send: (emitThrough: (emit: () => void) => void, signal: AbortSignal) => Promise<CallOutcome>,
): Promise<CallOutcome> => {
  const cancellation = new AbortController();
  const outcome = send((emit) => incarnation.do(emit), cancellation.signal);
  return new Promise((resolve) => {
    let ended = false;
    const end = (result: CallOutcome): void => {
      if (ended) return;
      ended = true;
      resolve(result);
    };
    const watch = (): void => {
      if (ended) return;
      if (incarnation.dead) end(frontLost);
      else clock.after(lossCheckMs, watch);
    };
    clock.after(lossCheckMs, watch);
    clock.after(callerTimeoutMs, () => {
      cancellation.abort();
      end(frontLost);
    });
    outcome.then(
      (result) => incarnation.do(() => end(result)),
      () => incarnation.do(() => end(frontLost)),
    );
  });
};
