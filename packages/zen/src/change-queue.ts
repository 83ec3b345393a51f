/**
 * The master's task queue. Changes that arrive while a publish is under way wait together and are published as one
 * batch; each ends only when its outcome is known. It owns the changes that wait. Invariant: an outcome is reported
 * only if a majority has confirmed this master since the change came, by a publish or by a quorum read, where the
 * caller relies on it (docs/design.md, "Versions of the configuration").
 */
import { completeVotingChange, type State } from '@tillerstair/state';
import { RpcError, TaskQueue, toRpcError } from '@tillerstair/wire';
import { NotMasterError, QuorumUnavailableError, UnknownOutcomeError } from './master-errors.js';
import type { Change, CommittedState } from './master-types.js';
import type { Mastership } from './mastership.js';
import type { PublishedState } from './published-state.js';

/** One change that waits for its outcome. */
interface Task {
  readonly change: Change;
  /** Whether a majority must confirm this master before the task ends without a publish. */
  readonly needsConfirmation: boolean;
  resolve(committed: CommittedState): void;
  reject(reason: Error): void;
}

interface RefusedTask {
  readonly task: Task;
  readonly reason: RpcError;
}

/** What the changes of one batch come to, one applied after the other. */
interface Batch {
  readonly next: State;
  readonly applied: readonly Task[];
  readonly refused: readonly RefusedTask[];
}

/** What a change queue works with. */
export interface ChangeQueueOptions {
  readonly mastership: Mastership;
  readonly published: PublishedState;
  /** Derives from a batch's outcome what follows from it, such as the owners of slots. */
  readonly settle: (state: State) => State;
  /** Publishes, commits and applies a state. */
  readonly publish: (state: State) => Promise<void>;
  /** Resolves once a majority has confirmed this master. */
  readonly confirm: () => Promise<unknown>;
}

const applyChanges = (tasks: readonly Task[], base: State): Batch => {
  const applied: Task[] = [];
  const refused: RefusedTask[] = [];
  let next = base;
  for (const task of tasks) {
    try {
      next = task.change(next);
      applied.push(task);
    } catch (e) {
      refused.push({ task, reason: toRpcError(e) });
    }
  }
  return { next, applied, refused };
};

/** Takes changes of the cluster state and publishes them, one batch after the other. */
export class ChangeQueue {
  private readonly mastership: Mastership;
  private readonly published: PublishedState;
  private readonly settle: (state: State) => State;
  private readonly publish: (state: State) => Promise<void>;
  private readonly confirm: () => Promise<unknown>;
  private readonly taskQueue = new TaskQueue('publish');
  private pendingTasks: Task[] = [];

  constructor(options: ChangeQueueOptions) {
    this.mastership = options.mastership;
    this.published = options.published;
    this.settle = options.settle;
    this.publish = options.publish;
    this.confirm = options.confirm;
  }

  /**
   * Makes a change; resolves once the state with it is committed and applied here, at once if it alters nothing.
   *
   * @throws whatever the change throws to refuse; NotMasterError if nothing was done; UnknownOutcomeError if the change
   * may have been made.
   */
  submit(change: Change): Promise<CommittedState> {
    return this.enqueue(change, false);
  }

  /**
   * As `submit`, but a refusal, and a change that alters nothing, end only once a majority has confirmed this master
   * since the call.
   *
   * @throws also QuorumUnavailableError if no majority does.
   */
  submitConfirmed(change: Change): Promise<CommittedState> {
    return this.enqueue(change, true);
  }

  /** Refuses all changes that wait, and those that come later. */
  close(): void {
    const { pendingTasks: waiting } = this;
    this.pendingTasks = [];
    for (const task of waiting) task.reject(new NotMasterError());
    this.taskQueue.close();
  }

  private enqueue(change: Change, needsConfirmation: boolean): Promise<CommittedState> {
    return new Promise((resolve, reject) => {
      if (this.mastership.lost.aborted) {
        reject(new NotMasterError());
        return;
      }
      this.pendingTasks.push({ change, needsConfirmation, resolve, reject });
      if (this.pendingTasks.length === 1) void this.taskQueue.run(() => this.processPending());
    });
  }

  private async processPending(): Promise<void> {
    const tasks = this.pendingTasks;
    this.pendingTasks = [];
    const batch = applyChanges(tasks, this.published.base);
    const next = this.settle(batch.next);
    try {
      const isPublished = next !== this.published.base || !this.published.committed;
      if (isPublished) await this.publish(next);
      this.reportOutcomes(batch, isPublished);
    } catch (e) {
      this.failBatch(batch, toRpcError(e));
    }
  }

  private reportOutcomes(batch: Batch, isPublished: boolean): void {
    const { committed: state, committedAt: at } = this.published;
    if (!state) throw new NotMasterError('nothing is committed');
    for (const task of batch.applied)
      this.endTask(task, isPublished, () => task.resolve({ state, at }));
    for (const { task, reason } of batch.refused)
      this.endTask(task, isPublished, () => task.reject(reason));
    if (completeVotingChange(state) !== state)
      void this.submit(completeVotingChange).catch(() => undefined);
  }

  /** Ends a task at once where a publish since it came has confirmed this master, else after a quorum read. */
  private endTask(task: Task, isPublished: boolean, report: () => void): void {
    if (isPublished || !task.needsConfirmation) {
      report();
      return;
    }
    this.confirm().then(report, (e: unknown) =>
      task.reject(new QuorumUnavailableError(toRpcError(e).message)),
    );
  }

  /**
   * After a publish that failed, members may hold the state: whether its changes are made is for the next master to
   * find out. A refusal may rest on one of them, so it is not reported then.
   */
  private failBatch(batch: Batch, { message }: RpcError): void {
    for (const task of batch.applied) task.reject(new UnknownOutcomeError(message));
    for (const { task } of batch.refused) task.reject(new QuorumUnavailableError(message));
    this.mastership.stepDown(message);
  }
}
