/** A monotonic clock that tests can replace, and helpers for delays and timeouts on it. */
import { setMaxListeners } from 'node:events';

/** A pending timer; `stop` cancels it if it has not fired yet. */
export interface TimerHandle {
  stop(): void;
}

/** A monotonic clock: it never goes back and is unrelated to the time of day. */
export interface Clock {
  /** Milliseconds since an arbitrary starting point, with fractions. */
  now(): number;
  /** Calls `run` once, after `ms` milliseconds. */
  after(ms: number, run: () => void): TimerHandle;
}

const nanosecondsPerMillisecond = 1e6;

/** The monotonic clock of the operating system. */
export const hostClock: Clock = {
  /** Milliseconds by `process.hrtime`. */
  now: () => Number(process.hrtime.bigint()) / nanosecondsPerMillisecond,
  /** Starts a timer that keeps the process alive until it fires or is stopped. */
  after: (ms, run) => {
    const timer = setTimeout(run, ms);
    return { stop: () => clearTimeout(timer) };
  },
};

/** Rounds to whole milliseconds, at least 1: the timers of the platform reject fractions. */
export const toTimerMs = (ms: number): number => Math.max(1, Math.round(ms));

/** Resolves after `ms` milliseconds, or as soon as the signal is aborted; it never rejects. */
export const delay = (clock: Clock, ms: number, signal?: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const timer = clock.after(ms, () => {
      signal?.removeEventListener('abort', onAbort);
      resolve();
    });
    const onAbort = (): void => {
      timer.stop();
      resolve();
    };
    signal?.addEventListener('abort', onAbort, { once: true });
  });

/** Settles as `work` does, or rejects with `timeoutError()` after `ms` milliseconds; `work` itself is not cancelled. */
export const withTimeout = <T>(
  clock: Clock,
  ms: number,
  work: Promise<T>,
  timeoutError: () => Error,
): Promise<T> =>
  new Promise((resolve, reject) => {
    const timer = clock.after(ms, () => reject(timeoutError()));
    const stopTimer = (): void => timer.stop();
    work.then(stopTimer, stopTimer);
    work.then(resolve, reject);
  });

/** Creates an abort controller whose signal accepts any number of listeners without Node's leak warning. */
export const createAbortController = (): AbortController => {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
};
