/** Work that must not overlap, run in the order in which it came by an actor of its own (`nact`). */
import { dispatch, spawn, start, stop } from 'nact';
import { ProtocolError } from './errors/index.js';

type Task = () => Promise<void>;

const actorSystem = start();
let queuesMade = 0;

/** Runs tasks one after another; a task that fails does not hold up those behind it. */
export class TaskQueue {
  private readonly actor;
  private depth = 0;
  private closed = false;

  constructor(name: string) {
    this.actor = spawn(
      actorSystem,
      async (_state: undefined, task: Task) => {
        await task();
        return undefined;
      },
      `${name}-${++queuesMade}`,
    );
  }

  /** How many tasks wait or run. */
  get pendingTasks(): number {
    return this.depth;
  }

  /** Runs a task once those before it have ended; rejects with code `closed` after `close`. */
  run<T>(work: () => Promise<T>): Promise<T> {
    if (this.closed) return Promise.reject(new ProtocolError('closed', 'the queue is closed'));
    this.depth++;
    return new Promise<T>((resolve, reject) => {
      const task: Task = () =>
        work()
          .then(resolve, reject)
          .finally(() => {
            this.depth--;
          });
      dispatch(this.actor, task);
    });
  }

  /** Takes no more tasks. */
  close(): void {
    this.closed = true;
    stop(this.actor);
  }
}
