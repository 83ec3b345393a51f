/**
 * How a node finds a master (docs/zen.md, "Kept, on the ordinary path"): ping rounds, each followed by a bootstrap
 * attempt if the cluster is new, and by the choice of a master. Owns the count of rounds without a master.
 */
import type { Member } from '@tillerstair/state';
import { delay, type Clock, type Logger } from '@tillerstair/wire';
import type { Bootstrapper } from './bootstrapper.js';
import type { ZenBounds } from './bounds.js';
import { elect } from './elect.js';
import type { KnownMembers } from './known-members.js';
import type { LocalNode } from './local-node.js';
import type { PendingJoins } from './pending-joins.js';
import type { PingRoundResult } from './ping-round.js';

/** Backoff after a round without a master: the heartbeat interval divided by this, times the number of such rounds. */
const pausesPerHeartbeat = 20;
/** Number of consecutive rounds without a master up to which the backoff grows. */
const maxCountedRounds = 5;

/** Dependencies of a `MasterFinder`. */
export interface MasterFinderOptions {
  readonly clock: Clock;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  readonly localNode: LocalNode;
  readonly knownMembers: KnownMembers;
  readonly pendingJoins: PendingJoins;
  readonly bootstrapper: Bootstrapper;
  /** Whether this node may take part in bootstrapping a cluster. */
  readonly mayBootstrap: boolean;
  readonly seeds: () => readonly string[];
  readonly pingRound: () => Promise<PingRoundResult>;
  /** Called with the result of every ping round, to renew the read lease. */
  readonly onRound: (round: PingRoundResult) => void;
  readonly stopping: AbortSignal;
}

/** Searches for a master, one ping round per call of `find`. */
export class MasterFinder {
  private readonly clock: Clock;
  private readonly bounds: ZenBounds;
  private readonly log: Logger;
  private readonly localNode: LocalNode;
  private readonly knownMembers: KnownMembers;
  private readonly pendingJoins: PendingJoins;
  private readonly bootstrapper: Bootstrapper;
  private readonly mayBootstrap: boolean;
  private readonly seeds: () => readonly string[];
  private readonly pingRound: () => Promise<PingRoundResult>;
  private readonly onRound: (round: PingRoundResult) => void;
  private readonly stopping: AbortSignal;
  private roundsWithoutMaster = 0;

  constructor(options: MasterFinderOptions) {
    this.clock = options.clock;
    this.bounds = options.bounds;
    this.log = options.log;
    this.localNode = options.localNode;
    this.knownMembers = options.knownMembers;
    this.pendingJoins = options.pendingJoins;
    this.bootstrapper = options.bootstrapper;
    this.mayBootstrap = options.mayBootstrap;
    this.seeds = options.seeds;
    this.pingRound = options.pingRound;
    this.onRound = options.onRound;
    this.stopping = options.stopping;
  }

  /** Runs one ping round; resolves with the chosen master, or with undefined if there is none yet, after a backoff. */
  async find(): Promise<Member | undefined> {
    if (!this.localNode.electionStore.writable) return this.waitForDisk();
    if (this.localNode.member.kind === 'control') this.pendingJoins.open();
    const round = await this.pingRound();
    if (this.stopping.aborted) return undefined;
    this.onRound(round);
    if (await this.bootstrap(round)) return undefined;
    return this.choose(round);
  }

  /** A node that cannot sync a vote neither becomes a candidate nor joins a master; it only answers pings. */
  private async waitForDisk(): Promise<undefined> {
    this.pendingJoins.rejectAll();
    await delay(this.clock, this.bounds.diskRetryInterval, this.stopping);
  }

  /** The bootstrapper refuses once a state is accepted; the same check here avoids its work and its log lines. */
  private async bootstrap(round: PingRoundResult): Promise<boolean> {
    const { member, accepted } = this.localNode;
    if (member.kind !== 'control' || accepted || !this.mayBootstrap) return false;
    return this.bootstrapper.onPingRound({
      localMember: member,
      seeds: this.seeds(),
      pingResponses: round.pingResponses,
      knownMembers: this.knownMembers.all(),
    });
  }

  private async choose(round: PingRoundResult): Promise<Member | undefined> {
    const result = elect(this.localNode.asCandidate(), this.ofThisCluster(round));
    if (result.kind === 'none') {
      this.log.debug(`No master elected: ${result.reason}.`);
      this.roundsWithoutMaster = Math.min(this.roundsWithoutMaster + 1, maxCountedRounds);
      const wait = (this.bounds.heartbeatInterval / pausesPerHeartbeat) * this.roundsWithoutMaster;
      await delay(this.clock, wait, this.stopping);
      return undefined;
    }
    this.roundsWithoutMaster = 0;
    this.log.info(`Elected ${result.member.addr} (${result.by}).`);
    return result.member;
  }

  /** Responses of nodes that belong to the same cluster as this node, or to no cluster yet. */
  private ofThisCluster(round: PingRoundResult): PingRoundResult['pingResponses'] {
    const { clusterId } = this.localNode;
    if (!clusterId) return round.pingResponses;
    return round.pingResponses.filter(
      (response) => !response.clusterId || response.clusterId === clusterId,
    );
  }
}
