import { dispatch, spawn, start, stop } from 'nact';
import { ProtocolError } from './errors/index.js';

type Task = () => Promise<void>;

const system = start();
let made = 0;

export class TaskQueue {
  private readonly actor;
  private depth = 0;
  private closed = false;

  constructor(name: string) {
    this.actor = spawn(
      system,
      async (_state: undefined, task: Task) => {
        await task();
        return undefined;
      },
      `${name}-${++made}`,
    );
  }

  get waiting(): number {
    return this.depth;
  }

  run<T>(work: () => Promise<T>): Promise<T> {
    if (this.closed) return Promise.reject(new ProtocolError('closed', 'the line is closed'));
    this.depth++;
    return new Promise<T>((done, fail) => {
      const task: Task = () =>
        work()
          .then(done, fail)
          .finally(() => {
            this.depth--;
          });
      dispatch(this.actor, task);
    });
  }

  close(): void {
    this.closed = true;
    stop(this.actor);
  }
}
