/** Runs asynchronous tasks one at a time, in the order of their submission, on an actor (`nact`) for each queue. */
import { dispatch, spawn, start, stop } from 'nact';
import { ProtocolError } from './errors/index.js';

type Task = () => Promise<void>;

const actorSystem = start();
let queueCount = 0;

/** A serial task queue; a task that fails does not stop the tasks after it. */
export class TaskQueue {
  private readonly actor;
  private pending = 0;
  private closed = false;

  constructor(name: string) {
    this.actor = spawn(
      actorSystem,
      async (_state: undefined, task: Task) => {
        await task();
        return undefined;
      },
      `${name}-${++queueCount}`,
    );
  }

  /** Number of tasks that are queued or running. */
  get pendingTasks(): number {
    return this.pending;
  }

  /** Runs a task after all earlier tasks have settled; rejects with code `closed` after `close`. */
  run<T>(work: () => Promise<T>): Promise<T> {
    if (this.closed) return Promise.reject(new ProtocolError('closed', 'the task queue is closed'));
    this.pending++;
    return new Promise<T>((resolve, reject) => {
      const task: Task = () =>
        work()
          .then(resolve, reject)
          .finally(() => {
            this.pending--;
          });
      dispatch(this.actor, task);
    });
  }

  /** Rejects all further tasks and stops the actor. */
  close(): void {
    this.closed = true;
    stop(this.actor);
  }
}
