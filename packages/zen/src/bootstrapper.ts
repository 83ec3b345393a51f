/**
 * Bootstraps a cluster of blank controls exactly once (docs/zen.md, "Bootstrapping happens once", with the argument why
 * no two clusters form). Owns the closure of the last ping round; votes and the state are in the election store.
 */
import { bootstrapState, type Member, type Replication } from '@tillerstair/state';
import { toRpcError, type Clock, type Logger, type Transport } from '@tillerstair/wire';
import { closureOf, clusterIdOf, membersKey, type BootstrapView } from './bootstrap-closure.js';
import type { ZenBounds } from './bounds.js';
import type { ElectionStore } from './election-store.js';
import { BootstrapVoteResponse, type BootstrapVote } from './messages.js';

/** Dependencies of a `Bootstrapper`, and the parameters of a new cluster. */
export interface BootstrapperOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly electionStore: ElectionStore;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  /** Number of slots of a new cluster. */
  readonly slots: number;
  /** Replicas and write quorum of each slot of a new cluster. */
  readonly replication?: Replication | undefined;
}

/** Proposes a bootstrap if this control has the lowest id of the closure, and votes on proposals of other controls. */
export class Bootstrapper {
  private readonly clock: Clock;
  private readonly transport: Transport;
  private readonly electionStore: ElectionStore;
  private readonly bounds: ZenBounds;
  private readonly log: Logger;
  private readonly slots: number;
  private readonly replication: Replication | undefined;
  /** Key of the closure of the last ping round, empty if there was none. */
  private lastClosureKey = '';
  /** Clock time in milliseconds since which every ping round has had the closure of `lastClosureKey`. */
  private unchangedSince = 0;

  constructor(options: BootstrapperOptions) {
    this.clock = options.clock;
    this.transport = options.transport;
    this.electionStore = options.electionStore;
    this.bounds = options.bounds;
    this.log = options.log;
    this.slots = options.slots;
    this.replication = options.replication;
  }

  /** Processes the result of a ping round; resolves with true if this control has bootstrapped the cluster. */
  async onPingRound(view: BootstrapView): Promise<boolean> {
    const { members, reason } = closureOf(view);
    const closureKey = membersKey(members);
    if (members.length === 0 || closureKey !== this.lastClosureKey) {
      if (reason) this.log.info(`Not bootstrapping yet: ${reason}.`);
      this.lastClosureKey = closureKey;
      this.unchangedSince = this.clock.now();
      return false;
    }
    if (this.clock.now() - this.unchangedSince < this.bounds.bootstrapStablePeriod) return false;
    if (members[0]?.id !== view.localMember.id) return false;
    return this.propose(view.localMember, members);
  }

  private async propose(localMember: Member, members: readonly Member[]): Promise<boolean> {
    if (!(await this.vote(localMember, members))) return false;
    const others = members.filter((member) => member.id !== localMember.id);
    const votes = await Promise.all(
      others.map((member) => this.requestVote(localMember, member, members)),
    );
    if (!votes.every(Boolean) || !this.mayStillBootstrap(members)) return false;
    const clusterId = clusterIdOf(members);
    await this.electionStore.accept(
      bootstrapState(clusterId, members, this.slots, this.replication),
    );
    this.log.info(`Bootstrapped cluster ${clusterId} with ${members.length} controls.`);
    return true;
  }

  /** Whether, after the requests to the others, the local vote is still for these members and no state was accepted. */
  private mayStillBootstrap(members: readonly Member[]): boolean {
    const { accepted, bootstrapVote } = this.electionStore.persisted;
    return membersKey(bootstrapVote) === membersKey(members) && !accepted;
  }

  private async requestVote(
    localMember: Member,
    voter: Member,
    members: readonly Member[],
  ): Promise<boolean> {
    try {
      const body = { from: localMember, members };
      const timeoutMs = this.bounds.joinTimeout;
      const response = await this.transport.call(voter.addr, 'zen/bootstrap', body, { timeoutMs });
      return BootstrapVoteResponse.parse(response).yes;
    } catch (e) {
      this.log.warn(
        `Request for a bootstrap vote to ${voter.addr} failed: ${toRpcError(e).message}.`,
      );
      return false;
    }
  }

  /**
   * Votes for these members if they include this control, it has accepted no state, and they cover every address of its
   * earlier vote. Resolves with true once the vote is on disk, and with false if it refuses.
   */
  private async vote(localMember: Member, members: readonly Member[]): Promise<boolean> {
    const { accepted, bootstrapVote } = this.electionStore.persisted;
    if (accepted || !members.some((member) => member.id === localMember.id)) return false;
    if (membersKey(bootstrapVote) === membersKey(members)) {
      await this.electionStore.synced();
      return true;
    }
    const addresses = new Set(members.map((member) => member.addr));
    if (!bootstrapVote.every((member) => addresses.has(member.addr))) return false;
    await this.electionStore.recordBootstrapVote(members);
    return true;
  }

  /** Answers another control's proposal: yes only if the closure of this control's last ping round is these members. */
  async onVoteRequest(
    localMember: Member,
    { members }: BootstrapVote,
  ): Promise<BootstrapVoteResponse> {
    if (membersKey(members) !== this.lastClosureKey) return { yes: false };
    return { yes: await this.vote(localMember, members) };
  }
}
