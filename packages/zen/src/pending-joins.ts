/**
 * Joins that reach a control while it looks for a master (docs/zen.md, "Kept, on the ordinary path"): queued until it
 * either leads and answers them, or follows another and rejects them with "not master".
 */
import { ElectionError } from '@tillerstair/wire';
import { NotMasterError } from './master-errors.js';
import type { Join, JoinResponse } from './messages.js';

/** A join whose sender waits for its response. */
export interface PendingJoin {
  readonly join: Join;
  resolve(response: JoinResponse): void;
  reject(error: Error): void;
}

/** Queues at most one join for each node: the latest. */
export class PendingJoins {
  private queue: Map<string, PendingJoin> | undefined;

  /** Queues joins from now on; those that are queued already stay. */
  open(): void {
    this.queue ??= new Map();
  }

  /** Resolves when a master has validated the join; rejects it with `not-master` while none are queued. */
  add(join: Join): Promise<JoinResponse> {
    const { queue } = this;
    if (!queue) return Promise.reject(new NotMasterError('this node follows another'));
    return new Promise((resolve, reject) => {
      const earlier = queue.get(join.from.id);
      earlier?.reject(new ElectionError('superseded', 'a later join replaced this one'));
      queue.set(join.from.id, { join, resolve, reject });
    });
  }

  /** The ids of the nodes whose joins are queued. */
  nodeIds(): readonly string[] {
    return [...(this.queue?.keys() ?? [])];
  }

  /** The joins that are queued now; they stay queued. */
  list(): readonly PendingJoin[] {
    return [...(this.queue?.values() ?? [])];
  }

  /** Hands over all joins to a new master, which answers them, and queues no more. */
  drain(): readonly PendingJoin[] {
    const joins = this.list();
    this.queue = undefined;
    return joins;
  }

  /** Rejects all joins, since another control leads or none can, and queues no more. */
  rejectAll(): void {
    for (const pending of this.drain())
      pending.reject(new NotMasterError('another control was elected'));
  }
}
