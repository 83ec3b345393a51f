/** One run of a simulated process: its actions are dropped once it is dead, and deferred while it is frozen. */
import type { Clock } from '@tillerstair/wire';

/** The lifetime of one process run. Setting `dead` ends it for good; a restarted process has a new incarnation. */
export class Incarnation {
  dead = false;
  frozen = false;
  private deferred: (() => void)[] = [];

  /** The clock of the process runs at `rate` times the speed of the world's clock. */
  constructor(readonly rate = 1) {}

  /** Runs an action now, or on waking up if the process is frozen; drops it if the process is dead. */
  do(action: () => void): void {
    if (this.dead) return;
    if (this.frozen) this.deferred.push(action);
    else action();
  }

  /** Ends the freeze and runs the deferred actions, in order. */
  wake(): void {
    this.frozen = false;
    const actions = this.deferred;
    this.deferred = [];
    for (const action of actions) action();
  }

  /** The clock of this process; its timers fire only while the process is alive. */
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
