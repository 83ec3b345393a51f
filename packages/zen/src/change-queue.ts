/**
 * The master's queue of changes to the cluster state. Changes that arrive while a publish is in flight are published
 * together as the next batch; each ends only when its outcome is known. The queue owns the pending changes. Invariant:
 * the outcome of a change submitted with `submitConfirmed` is reported only if a majority has confirmed this master
 * since the change arrived, by a publish or by a quorum read (docs/design.md, "Versions of the configuration").
 */
import { completeVotingChange, type State } from '@tillerstair/state';
import { RpcError, TaskQueue, toRpcError } from '@tillerstair/wire';
import { NotMasterError, QuorumUnavailableError, UnknownOutcomeError } from './master-errors.js';
import type { Change, CommittedState } from './master-types.js';
import type { Mastership } from './mastership.js';
import type { PublishedState } from './published-state.js';

/** A submitted change whose outcome is not known yet. */
interface Task {
  readonly change: Change;
  /** Whether a majority must confirm this master before an outcome without a publish is reported. */
  readonly needsConfirmation: boolean;
  resolve(committed: CommittedState): void;
  reject(reason: Error): void;
}

interface RefusedTask {
  readonly task: Task;
  readonly reason: RpcError;
}

/** The result of applying the changes of one batch in order: the next state and the fate of each change. */
interface Batch {
  readonly next: State;
  readonly applied: readonly Task[];
  readonly refused: readonly RefusedTask[];
}

/** The dependencies of a `ChangeQueue`. */
export interface ChangeQueueOptions {
  readonly mastership: Mastership;
  readonly published: PublishedState;
  /** Derives the dependent parts of the state after a batch, such as the owners of slots. */
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

/** Applies submitted changes to the cluster state and publishes them, one batch at a time. */
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
   * Applies a change; resolves once the resulting state is committed and applied at this control, or without a publish
   * if the change alters nothing.
   *
   * @throws whatever the change throws to refuse; NotMasterError if the change was not made; UnknownOutcomeError if the
   * change may have been made.
   */
  submit(change: Change): Promise<CommittedState> {
    return this.enqueue(change, false);
  }

  /**
   * As `submit`, but the outcome of a change that is refused or alters nothing is reported only once a majority has
   * confirmed this master since the call.
   *
   * @throws also QuorumUnavailableError if no majority confirms it.
   */
  submitConfirmed(change: Change): Promise<CommittedState> {
    return this.enqueue(change, true);
  }

  /** Refuses all pending changes and all later ones with a NotMasterError. */
  close(): void {
    const { pendingTasks } = this;
    this.pendingTasks = [];
    for (const task of pendingTasks) task.reject(new NotMasterError());
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
      this.report(batch, isPublished);
    } catch (e) {
      this.failBatch(batch, toRpcError(e));
    }
  }

  private report(batch: Batch, isPublished: boolean): void {
    const { committed: state, committedAt: at } = this.published;
    if (!state) throw new NotMasterError(`no state is committed in term ${this.mastership.term}`);
    for (const task of batch.applied)
      this.end(task, isPublished, () => task.resolve({ state, at }));
    for (const { task, reason } of batch.refused)
      this.end(task, isPublished, () => task.reject(reason));
    if (completeVotingChange(state) !== state)
      void this.submit(completeVotingChange).catch(() => undefined);
  }

  /**
   * Reports an outcome immediately if the batch was published, which confirms this master, or if no confirmation is
   * needed; otherwise after a quorum read.
   */
  private end(task: Task, isPublished: boolean, reportOutcome: () => void): void {
    if (isPublished || !task.needsConfirmation) {
      reportOutcome();
      return;
    }
    this.confirm().then(reportOutcome, (e: unknown) =>
      task.reject(new QuorumUnavailableError(toRpcError(e).message)),
    );
  }

  /**
   * After a failed publish, some members may have accepted the state, and the next master decides whether its changes
   * are made: their outcome is unknown. A refusal may depend on one of these changes, so it is not reported either.
   */
  private failBatch(batch: Batch, { message }: RpcError): void {
    for (const task of batch.applied) task.reject(new UnknownOutcomeError(message));
    for (const { task } of batch.refused) task.reject(new QuorumUnavailableError(message));
    this.mastership.stepDown(message);
  }
}
