/** Sleeps that another part of the node can end early, such as the wait before the next ping to the master. */
import { delay, type Clock } from '@tillerstair/wire';

/** Sleeps at most once at a time; `wake` ends the current sleep. */
export class InterruptibleSleep {
  private interruption = new AbortController();

  constructor(private readonly clock: Clock) {}

  /** Ends the current sleep; does nothing if there is none. */
  wake(): void {
    this.interruption.abort();
  }

  /** Resolves after `ms` milliseconds, or when `wake` is called. */
  sleep(ms: number): Promise<void> {
    this.interruption = new AbortController();
    return delay(this.clock, ms, this.interruption.signal);
  }
}
