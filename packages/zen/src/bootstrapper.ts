/**
 * Bootstraps a cluster of blank controls exactly once (docs/zen.md, "Bootstrapping happens once", with the argument why
 * no two clusters come up). Owns what the last ping round showed; votes and the state stand in the election store.
 */
import { bootstrapState, type Member, type Replication } from '@tillerstair/state';
import { toRpcError, type Clock, type Logger, type Transport } from '@tillerstair/wire';
import { closureOf, clusterIdOf, membersKey, type BootstrapView } from './bootstrap-closure.js';
import type { ZenBounds } from './bounds.js';
import type { ElectionStore } from './election-store.js';
import { BootstrapVoteResponse, type BootstrapVote } from './messages.js';

/** What a bootstrapper needs of its node. */
export interface BootstrapperOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly electionStore: ElectionStore;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  /** Number of slots of a new cluster. */
  readonly slots: number;
  /** Replicas and write quorum of a new cluster. */
  readonly replication?: Replication | undefined;
}

/** Proposes a bootstrap where this control is the first of the closure, and votes on the proposals of others. */
export class Bootstrapper {
  private readonly clock: Clock;
  private readonly transport: Transport;
  private readonly electionStore: ElectionStore;
  private readonly bounds: ZenBounds;
  private readonly log: Logger;
  private readonly slots: number;
  private readonly replication: Replication | undefined;
  /** Key of the closure that the last round saw, empty if there was none. */
  private lastClosureKey = '';
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

  /** Looks at a ping round; resolves with true if this control has bootstrapped the cluster. */
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

  /** Whether the local vote still names these members, and no state was accepted, after the others were asked. */
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
      this.log.warn(`No bootstrapping vote from ${voter.addr}: ${toRpcError(e).message}.`);
      return false;
    }
  }

  /**
   * Votes for these members, if this control has accepted no state and the members cover every address that it has
   * voted for before; resolves with true once the vote is on disk.
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

  /** Answers another control's proposal: yes only if the local last round saw exactly these members. */
  async onVoteRequest(
    localMember: Member,
    { members }: BootstrapVote,
  ): Promise<BootstrapVoteResponse> {
    if (membersKey(members) !== this.lastClosureKey) return { yes: false };
    return { yes: await this.vote(localMember, members) };
  }
}
