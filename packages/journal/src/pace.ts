/** The time bounds of writes to disk. */
import { hostClock, UnavailableError, delay, type Clock, type Logger, type ExecutionStatus } from '@tillerstair/wire';
import { isDiskTrouble } from './disk.js';

export interface JournalPace {
  readonly clock: Clock;
  /** How long a write may last before those who wait for it are told that it failed. */
  readonly syncWithin: number;
  /** How long to wait between two attempts to write a file anew after a failure. */
  readonly retryEvery: number;
  readonly log?: Logger;
}

export const hostPace: JournalPace = { clock: hostClock, syncWithin: 1500, retryEvery: 250 };

/** Told to those whose record is not known to be on disk. */
export class JournalUnavailableError extends UnavailableError {
  override readonly name = 'JournalUnavailableError';

  constructor(name: string, why: string, executed: ExecutionStatus) {
    super('unavailable', `${name} cannot be written: ${why}`, executed);
  }
}

/** Tries again for as long as the disk takes no bytes; any other error is thrown. */
export const untilDiskTakes = async <T>(pace: JournalPace, what: string, work: () => Promise<T>): Promise<T> => {
  for (let tries = 0; ; tries++) {
    try {
      return await work();
    } catch (e) {
      if (!isDiskTrouble(e)) throw e;
      if (tries === 0) pace.log?.warn(`${what} waits for the disk: ${e instanceof Error ? e.message : String(e)}.`);
      await delay(pace.clock, pace.retryEvery);
    }
  }
};
