/** Timeouts of disk writes, and retries of operations that failed with a transient disk error. */
import { delay, hostClock, type Clock, type Logger } from '@tillerstair/wire';
import { errorText, isTransientDiskError } from './errors.js';

/** Timeouts and retry intervals of one journal, in ms, and the clock that they refer to. */
export interface JournalTimings {
  readonly clock: Clock;
  /** Timeout of a write, after which its appends are rejected; the write itself may still end. */
  readonly syncTimeoutMs: number;
  /** Minimum delay between two attempts at a failed operation. */
  readonly retryIntervalMs: number;
  readonly log?: Logger;
}

/** Timings on the host's clock, for journals that are opened without any. */
export const defaultTimings: JournalTimings = {
  clock: hostClock,
  syncTimeoutMs: 1500,
  retryIntervalMs: 250,
};

/** Repeats an operation while it fails with a transient disk error, without limit; rethrows any other error. */
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
