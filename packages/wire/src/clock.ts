/** Time as the programs see it: a steady clock that can be replaced, and waits on it. */
import { setMaxListeners } from 'node:events';

/** A timer that can be stopped before it fires. */
export interface TimerHandle {
  stop(): void;
}

/** A steady clock: it never goes back and has nothing to do with the time of day. */
export interface Clock {
  /** Milliseconds since an arbitrary moment, with fractions. */
  now(): number;
  /** Runs something once, after `ms` milliseconds. */
  after(ms: number, run: () => void): TimerHandle;
}

const nanosecondsPerMillisecond = 1e6;

/** The clock of the machine. */
export const hostClock: Clock = {
  /** Reads the steady clock of the operating system. */
  now: () => Number(process.hrtime.bigint()) / nanosecondsPerMillisecond,
  /** Keeps the process alive until the timer fires or is stopped. */
  after: (ms, run) => {
    const timer = setTimeout(run, ms);
    return { stop: () => clearTimeout(timer) };
  },
};

/** Rounds to whole milliseconds, never below one: platform timers refuse fractions. */
export const toTimerMs = (ms: number): number => Math.max(1, Math.round(ms));

/** Waits `ms` milliseconds, or until the signal is aborted; it never throws. */
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

/** Waits for `work` for at most `ms` milliseconds, then throws what `timeoutError` makes; the work itself goes on. */
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

/** An abort controller for the life of a program, which any number of waits may listen to. */
export const createAbortController = (): AbortController => {
  const controller = new AbortController();
  setMaxListeners(0, controller.signal);
  return controller;
};
