import { setMaxListeners } from 'node:events';

export interface TimerHandle {
  stop(): void;
}

export interface Clock {
  now(): number;
  after(ms: number, run: () => void): TimerHandle;
}

export const hostClock: Clock = {
  now: () => Number(process.hrtime.bigint()) / 1e6,
  after: (ms, run) => {
    const t = setTimeout(run, ms);
    return { stop: () => clearTimeout(t) };
  },
};

/** Rounds to whole milliseconds, never below one: platform timers refuse fractions. */
export const toTimerMs = (ms: number): number => Math.max(1, Math.round(ms));

export const delay = (clock: Clock, ms: number, gone?: AbortSignal): Promise<void> =>
  new Promise((done) => {
    if (gone?.aborted) return done();
    const timer = clock.after(ms, () => {
      gone?.removeEventListener('abort', early);
      done();
    });
    const early = () => {
      timer.stop();
      done();
    };
    gone?.addEventListener('abort', early, { once: true });
  });

export const withTimeout = <T>(
  clock: Clock,
  ms: number,
  work: Promise<T>,
  late: () => Error,
): Promise<T> =>
  new Promise((done, fail) => {
    const timer = clock.after(ms, () => fail(late()));
    work.then(
      (v) => {
        timer.stop();
        done(v);
      },
      (e: unknown) => {
        timer.stop();
        fail(e);
      },
    );
  });

export const createAbortController = (): AbortController => {
  const ctl = new AbortController();
  setMaxListeners(0, ctl.signal);
  return ctl;
};
