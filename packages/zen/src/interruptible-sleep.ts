/** Pauses that another part of the node may end early, such as the wait before the next ping of a master. */
import { delay, type Clock } from '@tillerstair/wire';

/** At most one pause at a time; `wake` ends the one that is under way. */
export class InterruptibleSleep {
  private sleeper = new AbortController();

  constructor(private readonly clock: Clock) {}

  /** Ends the pause under way; without one it does nothing. */
  wake(): void {
    this.sleeper.abort();
  }

  /** Resolves after so many milliseconds, or when `wake` is called. */
  sleep(ms: number): Promise<void> {
    this.sleeper = new AbortController();
    return delay(this.clock, ms, this.sleeper.signal);
  }
}
