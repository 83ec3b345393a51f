/**
 * Joins that reach a control while it looks for a master (docs/zen.md, "Kept, on the ordinary path"): queued until the
 * control becomes master and answers them, or follows another master and rejects them with "not master".
 */
import { ElectionError } from '@tillerstair/wire';
import { NotMasterError } from './master-errors.js';
import type { Join, JoinResponse } from './messages.js';

/** A join that has not been answered. */
export interface PendingJoin {
  readonly join: Join;
  resolve(response: JoinResponse): void;
  reject(error: Error): void;
}

/** Queue with at most one join per node, the latest. */
export class PendingJoins {
  private queue: Map<string, PendingJoin> | undefined;

  /** Starts queueing joins; joins that are queued already stay. */
  open(): void {
    this.queue ??= new Map();
  }

  /**
   * Queues a join; resolves once a master on this node has validated it. Rejects with `not-master` if the queue is not
   * open or the election fails, and with `superseded` if the same node sends a later join.
   */
  add(join: Join): Promise<JoinResponse> {
    const { queue } = this;
    if (!queue)
      return Promise.reject(new NotMasterError('this node neither leads nor looks for a master'));
    return new Promise((resolve, reject) => {
      const earlier = queue.get(join.from.id);
      earlier?.reject(
        new ElectionError('superseded', `a later join of ${join.from.addr} replaced this one`),
      );
      queue.set(join.from.id, { join, resolve, reject });
    });
  }

  /** Ids of the nodes whose joins are queued. */
  nodeIds(): readonly string[] {
    return [...(this.queue?.keys() ?? [])];
  }

  /** Returns the queued joins, which stay queued. */
  list(): readonly PendingJoin[] {
    return [...(this.queue?.values() ?? [])];
  }

  /** Removes and returns all joins, for the new master to answer, and closes the queue. */
  drain(): readonly PendingJoin[] {
    const joins = this.list();
    this.queue = undefined;
    return joins;
  }

  /** Rejects all joins with `not-master` and closes the queue. */
  rejectAll(): void {
    for (const pending of this.drain())
      pending.reject(new NotMasterError('this control was not elected master'));
  }
}
