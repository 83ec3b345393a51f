/**
 * A node's time as master: creates the master, answers the pending joins, and ends when the master steps down. Owns the
 * reference to this node's master, if any.
 */
import { toRpcError } from '@tillerstair/wire';
import type { WonElection } from './candidate.js';
import { Master } from './master.js';
import type { MasterOptions, MasterView } from './master-types.js';
import type { PendingJoin, PendingJoins } from './pending-joins.js';
import { notifySteppedDown } from './stepped-down.js';

/** Dependencies of a `Leadership`. */
export interface LeadershipOptions {
  readonly masterOptions: MasterOptions;
  readonly pendingJoins: PendingJoins;
  /** Called with each new master once it has committed its first state. */
  readonly onLead: (master: MasterView) => void;
}

/** Resolves when the master has stepped down. */
const steppedDown = (master: MasterView): Promise<void> =>
  new Promise((resolve) => {
    if (master.lost.aborted) resolve();
    else master.lost.addEventListener('abort', () => resolve(), { once: true });
  });

/** Runs at most one master at a time. */
export class Leadership {
  private readonly masterOptions: MasterOptions;
  private readonly pendingJoins: PendingJoins;
  private readonly onLead: (master: MasterView) => void;
  private current: Master | undefined;

  constructor(options: LeadershipOptions) {
    this.masterOptions = options.masterOptions;
    this.pendingJoins = options.pendingJoins;
    this.onLead = options.onLead;
  }

  /** The master on this node, also while it steps down. */
  get master(): Master | undefined {
    return this.current;
  }

  /** The master on this node, unless it has stepped down. */
  get active(): Master | undefined {
    return this.current?.lost.aborted ? undefined : this.current;
  }

  /** Leads in the term of the won election; resolves once the master has stepped down. */
  async run(election: WonElection): Promise<void> {
    const { masterOptions } = this;
    const master = new Master(masterOptions, election.term, election.newestState);
    this.current = master;
    const pendingJoins = this.pendingJoins.drain();
    try {
      const joiners = election.joins.map(({ join }) => join.from);
      await master.begin(joiners, election.requestedAt);
      this.answerJoins(master, election, pendingJoins);
      this.onLead(master);
      await steppedDown(master);
    } catch (e) {
      for (const pendingJoin of pendingJoins) pendingJoin.reject(toRpcError(e));
      master.stepDown(toRpcError(e).message);
    } finally {
      this.current = undefined;
      if (!masterOptions.electionStore.writable) notifySteppedDown(masterOptions, master.committed);
    }
  }

  /** Voters became members with the first publish; the master validates the other pending joins one by one. */
  private answerJoins(
    master: Master,
    { term, joins }: WonElection,
    pendingJoins: readonly PendingJoin[],
  ): void {
    for (const votersJoin of joins) votersJoin.resolve({ term });
    const voterIds = new Set(joins.map(({ join }) => join.from.id));
    for (const pendingJoin of pendingJoins) {
      if (voterIds.has(pendingJoin.join.from.id)) continue;
      master.onJoin(pendingJoin.join).then(
        (response) => pendingJoin.resolve(response),
        (error: unknown) => pendingJoin.reject(toRpcError(error)),
      );
    }
  }
}
