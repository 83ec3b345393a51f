/**
 * A node's membership under a master (docs/zen.md, "Kept, on the ordinary path"): it joins the master that it chose and
 * follows it until the master fails. Owns which master this node is joining or follows.
 */
import type { Member, State } from '@tillerstair/state';
import { delay, type Logger } from '@tillerstair/wire';
import { acceptedVersion } from './election-store.js';
import type { RequestOptions } from './gather-votes.js';
import type { InterruptibleSleep } from './interruptible-sleep.js';
import { joinMaster } from './join-master.js';
import type { LocalNode } from './local-node.js';
import { MasterFaultDetection } from './master-fault-detection.js';
import type { Join, Ping } from './messages.js';
import type { PendingJoins } from './pending-joins.js';
import type { ReadLease } from './read-lease.js';

/** A node that loses its master before it has accepted a state waits for the heartbeat interval divided by this. */
const blankPausesPerHeartbeat = 10;

/** Dependencies of a `Follower`. */
export interface FollowerOptions extends RequestOptions {
  readonly log: Logger;
  readonly localNode: LocalNode;
  readonly pendingJoins: PendingJoins;
  readonly readLease: ReadLease;
  readonly applied: () => State | undefined;
  readonly report: () => unknown;
  readonly onListReport: (reported: unknown, requestedAt: number) => void;
  /** Wait between pings to the master; woken when the connection to it is lost. */
  readonly sleep: InterruptibleSleep;
  readonly stopping: AbortSignal;
}

/** Joins and follows at most one master at a time. */
export class Follower {
  private joining: Member | undefined;
  private followed: Member | undefined;

  constructor(private readonly options: FollowerOptions) {}

  /** The master that this node has joined and follows. */
  get master(): Member | undefined {
    return this.followed;
  }

  /** Id of the candidate that this node is joining, the only one that it may vote for. */
  get joiningId(): string | undefined {
    return this.joining?.id;
  }

  /** Whether the id is that of the master that this node is joining or follows. */
  isMaster(id: string): boolean {
    return this.joining?.id === id || this.followed?.id === id;
  }

  /** If this node follows another master, follows the publisher of a state instead, for which it has voted. */
  onPublished(publisher: Member): void {
    if (this.followed && this.followed.id !== publisher.id) this.followed = publisher;
  }

  /** Joins the master and follows it until it fails; rejects if the join fails. */
  async run(master: Member): Promise<void> {
    const { clock, bounds, log, localNode, stopping } = this.options;
    this.options.pendingJoins.rejectAll();
    await this.join(master);
    log.info(`Joined master ${master.addr}.`);
    await this.faultDetection().run();
    log.info('Lost the master.');
    this.followed = undefined;
    if (localNode.accepted === undefined)
      await delay(clock, bounds.heartbeatInterval / blankPausesPerHeartbeat, stopping);
  }

  private async join(master: Member): Promise<void> {
    const { localNode } = this.options;
    const { member, term, clusterId, electionStore } = localNode;
    this.joining = master;
    try {
      const ping: Ping = { from: member, known: [], clusterId };
      const accepted = acceptedVersion(electionStore);
      const join: Join = { from: member, term, accepted, clusterId };
      await joinMaster(this.options, master, ping, join);
      this.followed = master;
    } finally {
      this.joining = undefined;
    }
  }

  private faultDetection(): MasterFaultDetection {
    return new MasterFaultDetection({ ...this.options, followed: () => this.followed });
  }
}
