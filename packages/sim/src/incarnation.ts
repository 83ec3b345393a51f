/** One run of a simulated process: what it does later happens only while it lives, and waits while it is frozen. */
import type { Clock } from '@tillerstair/wire';

/** An incarnation ends for good when `dead` is set; a restarted process has a new one. */
export class Incarnation {
  dead = false;
  frozen = false;
  private deferred: (() => void)[] = [];

  /** Its clock runs at `rate` times the world's. */
  constructor(readonly rate = 1) {}

  /** Runs an action now, once it is no longer frozen, or, if it is dead, never. */
  do(action: () => void): void {
    if (this.dead) return;
    if (this.frozen) this.deferred.push(action);
    else action();
  }

  /** Ends the freeze and runs what was deferred, in order. */
  wake(): void {
    this.frozen = false;
    const actions = this.deferred;
    this.deferred = [];
    for (const action of actions) action();
  }

  /** The clock as this process sees it; its timers fire only while the process lives. */
  clock(base: Clock): Clock {
    return {
      now: () => base.now() * this.rate,
      after: (ms, run) => {
        let stopped = false;
        const timer = base.after(ms / this.rate, () => {
          this.do(() => {
            if (!stopped) run();
          });
        });
        return {
          stop: () => {
            stopped = true;
            timer.stop();
          },
        };
      },
    };
  }
}
