/** The time limits of writes to disk, and retries of what a full disk refused. */
import { delay, hostClock, type Clock, type Logger } from '@tillerstair/wire';
import { errorText, isTransientDiskError } from './errors.js';

/** Time limits of one journal, in ms. */
export interface JournalTimings {
  readonly clock: Clock;
  /** How long a write may last before those who wait for it are answered that it failed. */
  readonly syncTimeoutMs: number;
  /** The pause between two attempts to rewrite a file after a failure. */
  readonly retryIntervalMs: number;
  readonly log?: Logger;
}

/** Used where nobody states other limits. */
export const defaultTimings: JournalTimings = {
  clock: hostClock,
  syncTimeoutMs: 1500,
  retryIntervalMs: 250,
};

/** Repeats an operation for as long as the disk accepts no bytes; any other error is thrown at once. */
export const retryTransientDiskErrors = async <T>(
  timings: JournalTimings,
  fileName: string,
  operation: () => Promise<T>,
): Promise<T> => {
  for (let attempt = 0; ; attempt++) {
    try {
      return await operation();
    } catch (error) {
      if (!isTransientDiskError(error)) throw error;
      if (attempt === 0) timings.log?.warn(`${fileName} waits for the disk: ${errorText(error)}.`);
      await delay(timings.clock, timings.retryIntervalMs);
    }
  }
};
