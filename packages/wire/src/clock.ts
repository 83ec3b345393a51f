import { setMaxListeners } from 'node:events';

export interface Beat { stop(): void }

export interface Clock {
  now(): number;
  after(ms: number, run: () => void): Beat;
}

export const hostClock: Clock = {
  now: () => Number(process.hrtime.bigint()) / 1e6,
  after: (ms, run) => {
    const t = setTimeout(run, ms);
    return { stop: () => clearTimeout(t) };
  },
};

/** Rounds to whole milliseconds, never below one: platform timers refuse fractions. */
export const wholeMs = (ms: number): number => Math.max(1, Math.round(ms));

export const pause = (clock: Clock, ms: number, gone?: AbortSignal): Promise<void> =>
  new Promise((done) => {
    if (gone?.aborted) return done();
    const beat = clock.after(ms, () => {
      gone?.removeEventListener('abort', early);
      done();
    });
    const early = () => {
      beat.stop();
      done();
    };
    gone?.addEventListener('abort', early, { once: true });
  });

export const within = <T>(clock: Clock, ms: number, work: Promise<T>, late: () => Error): Promise<T> =>
  new Promise((done, fail) => {
    const beat = clock.after(ms, () => fail(late()));
    work.then(
      (v) => {
        beat.stop();
        done(v);
      },
      (e: unknown) => {
        beat.stop();
        fail(e);
      },
    );
  });

export const lasting = (): AbortController => {
  const ctl = new AbortController();
  setMaxListeners(0, ctl.signal);
  return ctl;
};
