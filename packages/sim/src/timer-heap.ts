/** A binary heap of timers, ordered by time, and for the same time by the order in which they were set. */

/** A timer of the simulated clock. */
export interface SimTimer {
  /** Time at which the timer fires, in ms of the simulated clock. */
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
  stopped: boolean;
}

const isBefore = (a: SimTimer, b: SimTimer): boolean =>
  a.at < b.at || (a.at === b.at && a.sequence < b.sequence);

/** The timers that have not fired; stopped timers stay until their time comes. */
export class TimerHeap {
  private readonly timers: SimTimer[] = [];

  /** The timer that fires next. */
  get first(): SimTimer | undefined {
    return this.timers[0];
  }

  push(timer: SimTimer): void {
    const { timers } = this;
    let index = timers.length;
    timers.push(timer);
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = timers[parentIndex];
      if (!isBefore(timer, parent)) break;
      timers[index] = parent;
      index = parentIndex;
    }
    timers[index] = timer;
  }

  /** Removes the timer that fires next. */
  pop(): SimTimer | undefined {
    const { timers } = this;
    const top = timers.at(0);
    const last = timers.pop();
    if (last === undefined || timers.length === 0) return top;
    let index = 0;
    for (;;) {
      const childIndex = this.earlierChildOf(index);
      if (childIndex === undefined || !isBefore(timers[childIndex], last)) break;
      timers[index] = timers[childIndex];
      index = childIndex;
    }
    timers[index] = last;
    return top;
  }

  private earlierChildOf(index: number): number | undefined {
    const left = 2 * index + 1;
    const right = left + 1;
    const { timers } = this;
    if (left >= timers.length) return undefined;
    return right < timers.length && isBefore(timers[right], timers[left]) ? right : left;
  }
}
