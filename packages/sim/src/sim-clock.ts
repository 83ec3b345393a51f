/**
 * The simulated clock: time advances only from timer to timer, and after each timer all ready tasks run to their end.
 * So a run with the same seed has the same events in the same order.
 */
import type { Clock, TimerHandle } from '@tillerstair/wire';
import { TimerHeap, type SimTimer } from './timer-heap.js';

const startTime = 1000;
/** Number of event loop turns after which the tasks that one timer started have run to their end. */
const turnsPerEvent = 4;

const eventLoopTurn = (): Promise<void> => new Promise((done) => setImmediate(done));

/** A clock that advances only while it is run. Times are in ms. */
export class SimClock implements Clock {
  /** Number of timers that have fired. */
  events = 0;
  private time = startTime;
  private sequence = 0;
  private readonly timers = new TimerHeap();

  now(): number {
    return this.time;
  }

  after(ms: number, run: () => void): TimerHandle {
    const timer: SimTimer = {
      at: this.time + Math.max(0, ms),
      sequence: ++this.sequence,
      run,
      stopped: false,
    };
    this.timers.push(timer);
    return {
      stop: () => {
        timer.stopped = true;
      },
    };
  }

  /** Runs all ready tasks without advancing the time. */
  async runReadyTasks(): Promise<void> {
    for (let turn = 0; turn < turnsPerEvent; turn++) await eventLoopTurn();
  }

  /** Advances to the next timer and fires it; false if there is none up to the time `limit`. */
  async step(limit: number): Promise<boolean> {
    const timer = this.timers.first;
    if (!timer || timer.at > limit) return false;
    this.timers.pop();
    if (timer.stopped) return true;
    this.time = Math.max(this.time, timer.at);
    this.events++;
    timer.run();
    await this.runReadyTasks();
    return true;
  }

  /** Advances the time by `ms`. */
  async run(ms: number): Promise<void> {
    const end = this.time + ms;
    await this.runReadyTasks();
    while (await this.step(end));
    this.time = end;
  }

  /** Advances the time until a condition holds, and returns how long that took; throws after `withinMs`. */
  async until(what: string, ready: () => boolean, withinMs: number): Promise<number> {
    const start = this.time;
    await this.runReadyTasks();
    while (!ready()) {
      if (this.time - start > withinMs || !(await this.step(start + withinMs + 1)))
        throw new Error(`${what}: not within ${withinMs} ms of simulated time`);
    }
    return this.time - start;
  }

  /** Advances the time until a promise settles, and returns its value or throws its error; throws after `withinMs`. */
  async finish<T>(what: string, work: Promise<T>, withinMs: number): Promise<T> {
    let ended = false;
    const end = (): void => {
      ended = true;
    };
    work.then(end, end);
    await this.until(what, () => ended, withinMs);
    return work;
  }
}
