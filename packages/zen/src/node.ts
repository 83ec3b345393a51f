import { versionOf, isNewerVersion, hasQuorum, reduceState, type Member, type Replication, type State } from '@tillerstair/state';
import { type Clock, ConnectionRefusedError, createAbortController, delay, ElectionError, type Logger, ProtocolError, type RpcRequest, toRpcError, type Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { gatherVotes } from './candidate.js';
import { elect, type Self } from './elect.js';
import { Bootstrapper } from './bootstrap.js';
import { joinMaster } from './joiner.js';
import { acceptedVersion, type ElectionStore } from './election-store.js';
import { leaveCluster } from './leave.js';
import { Master } from './master.js';
import type { MasterView } from './master-types.js';
import { Commit, Join, MasterPing, MasterPingResponse, mustBeFor, NodePing, Ping, PingResponse } from './messages.js';
import { Pinger, type Round } from './pinger.js';
import { ReadLease } from './read-lease.js';
import { Receiver } from './receiver.js';
import { notifySteppedDown } from './stepped-down.js';
import { grantVote } from './vote.js';

export interface ZenParts {
  readonly me: Member;
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly transport: Transport;
  readonly electionStore: ElectionStore;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  readonly slots: number;
  /** Replicas and write quorum of every slot, used when the cluster is bootstrapped. */
  readonly replication?: Replication;
  /** Whether this node may help to bootstrap a cluster; not when the installation has run before. */
  readonly mayBootstrap?: boolean;
  readonly settle?: (s: State) => State;
  readonly onApplied?: (s: State) => Promise<void>;
  readonly report?: () => unknown;
  readonly onReport?: (id: string, report: unknown) => void;
  readonly listReport?: () => unknown;
  readonly onListReport?: (reported: unknown, askedAt: number) => void;
  readonly onLead?: (m: MasterView) => void;
}

interface PendingJoin {
  readonly join: Join;
  done(v: { term: number }): void;
  fail(e: Error): void;
}

export class ZenNode {
  private readonly gone = createAbortController();
  private readonly pinger: Pinger;
  private readonly bootstrapper: Bootstrapper;
  private pending: Map<string, PendingJoin> | undefined;
  private joining: Member | undefined;
  private following: Member | undefined;
  private wake: () => void = () => undefined;
  private master: Master | undefined;
  private readonly receiver: Receiver;
  private ended: Promise<void> = Promise.resolve();
  private misses = 0;
  private readonly lease = new ReadLease();
  private seeds: readonly string[];

  constructor(private readonly p: ZenParts) {
    this.seeds = p.seeds;
    this.pinger = new Pinger(p.clock, p.transport, p.bounds, () => this.seeds);
    this.bootstrapper = new Bootstrapper(p.clock, p.transport, p.electionStore, p.bounds, p.log, p.slots, p.replication);
    this.receiver = new Receiver({
      electionStore: p.electionStore,
      onApplied: async (s) => {
        this.pinger.learn([...s.votingMembers.values(), ...s.nodes.values()], p.me);
        await p.onApplied?.(s);
      },
      knows: (id) => this.joining?.id === id || this.following?.id === id,
      onTerm: (term, from) => {
        if (this.master && term > this.master.term) this.master.stepDown(`${from.addr} publishes in term ${term}`);
      },
      onPublished: (from) => {
        if (this.following && this.following.id !== from.id) this.following = from;
      },
    });
    p.transport.onConnectionLost((addr) => {
      this.master?.connectionLost(addr);
      if (this.following?.addr === addr) this.wake();
    });
    const old = p.electionStore.persisted.accepted;
    if (old) this.pinger.learn([...old.votingMembers.values(), ...old.nodes.values()], p.me);
  }

  get applied(): State | undefined {
    return this.receiver.applied;
  }

  get leading(): MasterView | undefined {
    return this.master?.lost.aborted ? undefined : this.master;
  }

  get masterSeen(): Member | undefined {
    return this.leading ? this.p.me : this.following;
  }

  get term(): number {
    return this.p.electionStore.persisted.term;
  }

  get clusterId(): string {
    return this.p.electionStore.persisted.accepted?.clusterId ?? '';
  }

  get accepted(): State | undefined {
    return this.p.electionStore.persisted.accepted;
  }

  /** Uses other seed addresses from the next ping round on; nothing under way is disturbed. */
  replaceSeeds(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  reportNow(): void {
    this.wake();
  }

  start(): void {
    this.ended = this.run();
    if (this.p.me.kind === 'front') void this.keepLease();
  }

  async stop(): Promise<void> {
    await leaveCluster(this.p, this.following, this.leading).catch(() => undefined);
    this.gone.abort();
    this.master?.stepDown('stopping');
    this.wake();
    await this.ended;
  }

  private async run(): Promise<void> {
    while (!this.gone.signal.aborted) {
      try {
        const chosen = await this.findMaster();
        if (!chosen) continue;
        if (chosen.id === this.p.me.id) await this.lead();
        else await this.follow(chosen);
      } catch (e) {
        this.p.log.warn(`Round ended: ${toRpcError(e).message}.`);
        await delay(this.p.clock, this.p.bounds.heartbeatInterval / 10, this.gone.signal);
      }
    }
    this.dropPending();
  }

  private self(): Self {
    const { me, electionStore } = this.p;
    const acc = electionStore.persisted.accepted;
    return {
      member: me,
      writable: electionStore.writable,
      canWin: electionStore.writable && acc !== undefined && (acc.voters.current.includes(me.id) || acc.voters.next.includes(me.id)),
      joinedBefore: acc !== undefined && acc.version > 1,
      accepted: versionOf(acc),
      voters: acc?.voters,
    };
  }

  private async findMaster(): Promise<Member | undefined> {
    const { me, electionStore, log } = this.p;
    if (!electionStore.writable) return this.waitForDisk();
    if (me.kind === 'control') this.pending ??= new Map();
    const round = await this.pinger.round(() => this.ping(), this.gone.signal);
    if (this.gone.signal.aborted) return undefined;
    this.renewLease(round);
    const mine = round.pingResponses.filter((g) => !this.clusterId || !g.clusterId || g.clusterId === this.clusterId);
    if (me.kind === 'control' && !electionStore.persisted.accepted && this.p.mayBootstrap !== false) {
      const view = { me, seeds: this.seeds, pingResponses: round.pingResponses, heardOf: this.pinger.heardOf() };
      if (await this.bootstrapper.round(view)) return undefined;
    }
    const choice = elect(this.self(), mine);
    if (choice.kind === 'none') {
      log.debug(`No master yet: ${choice.why}.`);
      this.misses = Math.min(this.misses + 1, 5);
      await delay(this.p.clock, (this.p.bounds.heartbeatInterval / 20) * this.misses, this.gone.signal);
      return undefined;
    }
    this.misses = 0;
    log.info(`Elected ${choice.member.addr} (${choice.by}).`);
    return choice.member;
  }

  /** A node that cannot sync a vote neither stands for election nor joins; it only answers pings. */
  private async waitForDisk(): Promise<undefined> {
    this.dropPending();
    await delay(this.p.clock, this.p.bounds.diskRetryEvery, this.gone.signal);
  }

  private ping(): Ping {
    return { from: this.p.me, known: this.pinger.controls(), clusterId: this.clusterId };
  }

  private async keepLease(): Promise<void> {
    const { clock, bounds } = this.p;
    while (!this.gone.signal.aborted) {
      await delay(clock, bounds.heartbeatInterval / 4, this.gone.signal);
      if (this.following && clock.now() - this.leaseRenewedAt > bounds.readLease / 2)
        this.renewLease(await this.pinger.round(() => this.ping(), this.gone.signal));
    }
  }

  get leaseRenewedAt(): number {
    return this.lease.leaseRenewedAt;
  }

  private renewLease(round: Round): void {
    this.lease.renewFromRound(round, this.applied, this.p.me.id);
  }

  private dropPending(): void {
    for (const j of this.pending?.values() ?? []) j.fail(new ElectionError('not-master', 'another control was elected'));
    this.pending = undefined;
  }

  private async lead(): Promise<void> {
    const { me, electionStore, bounds, clock, log } = this.p;
    const acc = electionStore.persisted.accepted;
    if (!acc) return;
    const joined = (): ReadonlySet<string> => new Set([me.id, ...(this.pending?.keys() ?? [])]);
    const end = clock.now() + bounds.joinWait;
    while (!hasQuorum(acc.voters, joined())) {
      if (clock.now() >= end || this.gone.signal.aborted) return this.dropPending();
      await this.nudge(Math.min(bounds.joinWait / 4, end - clock.now()));
    }
    const joins = [...(this.pending?.values() ?? [])];
    const askedAt = clock.now();
    const term = Math.max(electionStore.persisted.term, ...joins.map((j) => j.join.term)) + 1;
    await electionStore.recordVote(term, me.id);
    const asking = { me, clock, transport: this.p.transport, bounds };
    const { granted, newest } = await gatherVotes(asking, acc, term, joins.map((j) => j.join.from));
    const yes = new Set([me.id, ...granted]);
    if (electionStore.persisted.term !== term || !hasQuorum(acc.voters, yes) || !hasQuorum(newest.voters, yes)) {
      log.info(`Won no majority in term ${term}.`);
      return this.dropPending();
    }
    log.info(`Master in term ${term} with ${yes.size} votes.`);
    const joiners = new Map(joins.flatMap((j) => (granted.has(j.join.from.id) ? [[j.join.from.id, j] as const] : [])));
    const master = new Master(
      {
        me, clock, transport: this.p.transport, electionStore, bounds, log,
        settle: this.p.settle ?? ((s) => s),
        apply: (s) => this.receiver.apply(s),
        onReport: this.p.onReport ?? (() => undefined),
      },
      term,
      newest,
    );
    this.master = master;
    const early = this.pending;
    this.pending = undefined;
    try {
      await master.begin([...joiners.values()].map((j) => j.join.from), askedAt);
      for (const j of joiners.values()) j.done({ term });
      for (const [id, j] of early ?? []) if (!joiners.has(id)) master.onJoin(j.join).then(j.done, j.fail);
      this.p.onLead?.(master);
      if (!master.lost.aborted)
        await new Promise<void>((done) => master.lost.addEventListener('abort', () => done(), { once: true }));
    } catch (e) {
      for (const j of early?.values() ?? []) j.fail(toRpcError(e));
      master.stepDown(toRpcError(e).message);
    } finally {
      this.master = undefined;
      if (!electionStore.writable) notifySteppedDown(this.p, master.committed);
    }
  }

  private nudge(ms: number): Promise<void> {
    const early = new AbortController();
    this.wake = () => early.abort();
    return delay(this.p.clock, ms, early.signal);
  }

  private async follow(master: Member): Promise<void> {
    const { me, transport, bounds, clock, electionStore, log } = this.p;
    this.dropPending();
    this.joining = master;
    try {
      const ping: Ping = { from: me, known: [], clusterId: this.clusterId };
      const join: Join = { from: me, term: electionStore.persisted.term, accepted: acceptedVersion(electionStore), clusterId: this.clusterId };
      await joinMaster({ me, clock, transport, bounds }, master, ping, join);
      this.following = master;
    } finally {
      this.joining = undefined;
    }
    log.info(`Joined ${master.addr}.`);
    await this.watchMaster();
    log.info('Lost the master.');
    this.following = undefined;
    if (electionStore.persisted.accepted === undefined) await delay(clock, bounds.heartbeatInterval / 10, this.gone.signal);
  }

  private async watchMaster(): Promise<void> {
    const { me, transport, bounds, clock } = this.p;
    let good = clock.now();
    let refused = 0;
    let unlisted = 0;
    while (!this.gone.signal.aborted) {
      const master = this.following;
      if (!master) return;
      const sent = clock.now();
      try {
        const ping: MasterPing = { from: me, term: this.term, applied: versionOf(this.applied), report: this.p.report?.() ?? null };
        const pingResponse = MasterPingResponse.parse(await transport.call(master.addr, 'zen/master-ping', ping, { timeoutMs: bounds.failureTimeout }));
        unlisted = pingResponse.listed ? 0 : unlisted + 1;
        if (!pingResponse.leading || pingResponse.term < this.term || unlisted >= 2) return;
        good = clock.now();
        refused = 0;
        if (pingResponse.listed && !isNewerVersion(pingResponse.committed, versionOf(this.applied))) {
          this.lease.renew(sent - pingResponse.age);
          this.p.onListReport?.(pingResponse.reported, sent);
        }
      } catch (e) {
        if (e instanceof ConnectionRefusedError) refused++;
      }
      if (refused >= 2 || clock.now() - good > bounds.failureTimeout) return;
      await this.nudge(refused === 1 ? bounds.heartbeatInterval / 10 : bounds.heartbeatInterval);
    }
  }

  private pingResponse(): PingResponse {
    const self = this.self();
    return {
      from: this.p.me,
      eligible: this.p.me.kind === 'control' && this.p.electionStore.writable,
      canWin: self.canWin,
      master: this.masterSeen,
      term: this.term,
      clusterId: this.clusterId,
      joinedBefore: self.joinedBefore,
      accepted: self.accepted,
      voters: self.voters,
      known: this.pinger.controls(),
    };
  }

  async handle(rpc: RpcRequest): Promise<unknown> {
    mustBeFor(this.p.me, rpc, (from) => this.pinger.learn([from], this.p.me));
    switch (rpc.kind) {
      case 'zen/ping': {
        const ping = Ping.parse(rpc.body);
        this.pinger.learn([ping.from], this.p.me);
        return this.pingResponse();
      }
      case 'zen/bootstrap':
        return this.bootstrapper.onVote(this.p.me, rpc.body);
      case 'zen/join':
        return this.onJoin(Join.parse(rpc.body));
      case 'zen/validate':
        return grantVote(this.p.electionStore, this.joining?.id, rpc.body);
      case 'zen/publish':
        return this.receiver.onPublish(rpc.body);
      case 'zen/commit':
        return this.receiver.onCommit(Commit.parse(rpc.body).stateVersion);
      case 'zen/node-ping':
        return this.onNodePing(NodePing.parse(rpc.body));
      case 'zen/master-ping': {
        const ping = MasterPing.parse(rpc.body);
        const m = this.master;
        if (m && ping.term > m.term) m.stepDown(`${ping.from.addr} is in term ${ping.term}`);
        if (m && !m.lost.aborted) return { ...m.onMasterPing(ping), reported: this.p.listReport?.() };
        return { leading: false, listed: false, term: this.term, committed: versionOf(undefined), age: 0 };
      }
      case 'zen/stepped-down': {
        const { id } = Ping.pick({ from: true }).parse(rpc.body).from;
        if (this.following?.id === id) this.wake();
        return {};
      }
      case 'zen/leave': {
        const { id } = Ping.pick({ from: true }).parse(rpc.body).from;
        await this.leading?.submit((s) => reduceState(s, { kind: 'leave', id }));
        return {};
      }
      default:
        throw new ProtocolError('unknown-kind', `no such request: ${rpc.kind}`);
    }
  }

  private onNodePing(ping: NodePing): unknown {
    if (ping.clusterId === this.clusterId) this.master?.onAnotherMaster(ping.term, ping.from.addr);
    return { term: this.term, applied: versionOf(this.applied), report: this.p.report?.() ?? null };
  }

  private onJoin(join: Join): Promise<{ term: number }> {
    if (join.clusterId && join.clusterId !== this.clusterId)
      throw new ElectionError('other-cluster', `this is cluster ${this.clusterId}`);
    const m = this.master;
    if (m && !m.lost.aborted) return m.onJoin(join);
    const pending = this.pending;
    if (!pending) throw new ElectionError('not-master', 'this node follows another');
    return new Promise((done, fail) => {
      pending.get(join.from.id)?.fail(new ElectionError('superseded', 'a later join replaced this one'));
      pending.set(join.from.id, { join, done, fail });
      this.wake();
    });
  }
}
