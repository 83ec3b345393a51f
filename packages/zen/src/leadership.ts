/**
 * The time for which this node is master: makes the master, answers the joins that waited for it, and ends when it steps
 * down. Owns which master, if any, this node runs.
 */
import { toRpcError } from '@tillerstair/wire';
import type { WonElection } from './candidate.js';
import { Master } from './master.js';
import type { MasterOptions, MasterView } from './master-types.js';
import type { PendingJoin, PendingJoins } from './pending-joins.js';
import { notifySteppedDown } from './stepped-down.js';

/** What a leadership needs of its node. */
export interface LeadershipOptions {
  readonly masterOptions: MasterOptions;
  readonly pendingJoins: PendingJoins;
  /** Hears of each new master once it has committed its first state. */
  readonly onLead: (master: MasterView) => void;
}

/** Resolves when the master has stepped down. */
const steppedDown = (master: MasterView): Promise<void> =>
  new Promise((resolve) => {
    if (master.lost.aborted) resolve();
    else master.lost.addEventListener('abort', () => resolve(), { once: true });
  });

/** Runs one master at a time. */
export class Leadership {
  private readonly masterOptions: MasterOptions;
  private readonly pendingJoins: PendingJoins;
  private readonly onLead: (master: MasterView) => void;
  private running: Master | undefined;

  constructor(options: LeadershipOptions) {
    this.masterOptions = options.masterOptions;
    this.pendingJoins = options.pendingJoins;
    this.onLead = options.onLead;
  }

  /** The master that runs here, also while it steps down. */
  get master(): Master | undefined {
    return this.running;
  }

  /** The master that runs here and has not stepped down. */
  get active(): Master | undefined {
    return this.running?.lost.aborted ? undefined : this.running;
  }

  /** Leads in the term that was won; resolves once the master has stepped down. */
  async run(election: WonElection): Promise<void> {
    const { masterOptions } = this;
    const master = new Master(masterOptions, election.term, election.newestState);
    this.running = master;
    const pending = this.pendingJoins.drain();
    try {
      const joiners = election.joins.map(({ join }) => join.from);
      await master.begin(joiners, election.requestedAt);
      this.answerJoins(master, election, pending);
      this.onLead(master);
      await steppedDown(master);
    } catch (e) {
      for (const waiting of pending) waiting.reject(toRpcError(e));
      master.stepDown(toRpcError(e).message);
    } finally {
      this.running = undefined;
      if (!masterOptions.electionStore.writable) notifySteppedDown(masterOptions, master.committed);
    }
  }

  /** Those that voted are members by the first publish; the master validates the others one by one. */
  private answerJoins(
    master: Master,
    { term, joins }: WonElection,
    pending: readonly PendingJoin[],
  ): void {
    for (const voted of joins) voted.resolve({ term });
    const voterIds = new Set(joins.map(({ join }) => join.from.id));
    for (const waiting of pending) {
      if (voterIds.has(waiting.join.from.id)) continue;
      master.onJoin(waiting.join).then(
        (response) => waiting.resolve(response),
        (error: unknown) => waiting.reject(toRpcError(error)),
      );
    }
  }
}
