import { markOf, newer, quorum, reduce, type Mate, type Replication, type State } from '@tillerstair/state';
import { CircuitRefused, Mishap, mishapOf, pause, type Circuits, type Clock, type Inquiry, type Log, lasting } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { gatherPromises } from './candidate.js';
import { elect, type Self } from './elect.js';
import { Founder } from './found.js';
import { joinMaster } from './joiner.js';
import { acceptedMark, type Keep } from './keep.js';
import { sayLeave } from './leave.js';
import { Master } from './master.js';
import type { MasterView } from './master-types.js';
import { Commit, Join, MasterPing, MasterPong, mustBeFor, NodePing, Ping, Pong } from './messages.js';
import { Pinger, type Round } from './pinger.js';
import { ReadLease } from './read-lease.js';
import { Receiver } from './receiver.js';
import { tellSteppedDown } from './stepped-down.js';
import { grantVote } from './vote.js';

export interface ZenParts {
  readonly me: Mate;
  readonly seeds: readonly string[];
  readonly clock: Clock;
  readonly circuits: Circuits;
  readonly keep: Keep;
  readonly bounds: ZenBounds;
  readonly log: Log;
  readonly slots: number;
  /** Replicas and write quorum of every slot, used when the cluster is bootstrapped. */
  readonly replication?: Replication;
  /** Whether this node may help to found a cluster; not when the installation has run before. */
  readonly founds?: boolean;
  readonly settle?: (s: State) => State;
  readonly onApplied?: (s: State) => Promise<void>;
  readonly report?: () => unknown;
  readonly onReport?: (id: string, report: unknown) => void;
  readonly tell?: () => unknown;
  readonly onTold?: (told: unknown, askedAt: number) => void;
  readonly onLead?: (m: MasterView) => void;
}

interface PendingJoin {
  readonly join: Join;
  done(v: { term: number }): void;
  fail(e: Error): void;
}

export class ZenNode {
  private readonly gone = lasting();
  private readonly pinger: Pinger;
  private readonly founder: Founder;
  private pending: Map<string, PendingJoin> | undefined;
  private joining: Mate | undefined;
  private following: Mate | undefined;
  private wake: () => void = () => undefined;
  private master: Master | undefined;
  private readonly receiver: Receiver;
  private ended: Promise<void> = Promise.resolve();
  private misses = 0;
  private readonly lease = new ReadLease();
  private seeds: readonly string[];

  constructor(private readonly p: ZenParts) {
    this.seeds = p.seeds;
    this.pinger = new Pinger(p.clock, p.circuits, p.bounds, () => this.seeds);
    this.founder = new Founder(p.clock, p.circuits, p.keep, p.bounds, p.log, p.slots, p.replication);
    this.receiver = new Receiver({
      keep: p.keep,
      onApplied: async (s) => {
        this.pinger.learn([...s.voterMates.values(), ...s.nodes.values()], p.me);
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
    p.circuits.onLost((addr) => {
      this.master?.circuitLost(addr);
      if (this.following?.addr === addr) this.wake();
    });
    const old = p.keep.kept.accepted;
    if (old) this.pinger.learn([...old.voterMates.values(), ...old.nodes.values()], p.me);
  }

  get applied(): State | undefined {
    return this.receiver.applied;
  }

  get leading(): MasterView | undefined {
    return this.master?.lost.aborted ? undefined : this.master;
  }

  get masterSeen(): Mate | undefined {
    return this.leading ? this.p.me : this.following;
  }

  get term(): number {
    return this.p.keep.kept.term;
  }

  get clusterId(): string {
    return this.p.keep.kept.accepted?.clusterId ?? '';
  }

  get accepted(): State | undefined {
    return this.p.keep.kept.accepted;
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
    if (this.p.me.kind === 'front') void this.keepFresh();
  }

  async stop(): Promise<void> {
    await sayLeave(this.p, this.following, this.leading).catch(() => undefined);
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
        this.p.log.warn(`Round ended: ${mishapOf(e).message}.`);
        await pause(this.p.clock, this.p.bounds.beat / 10, this.gone.signal);
      }
    }
    this.dropPending();
  }

  private self(): Self {
    const { me, keep } = this.p;
    const acc = keep.kept.accepted;
    return {
      mate: me,
      writable: keep.writable,
      canWin: keep.writable && acc !== undefined && (acc.voters.now.includes(me.id) || acc.voters.next.includes(me.id)),
      joinedBefore: acc !== undefined && acc.version > 1,
      accepted: markOf(acc),
      voters: acc?.voters,
    };
  }

  private async findMaster(): Promise<Mate | undefined> {
    const { me, keep, log } = this.p;
    if (!keep.writable) return this.waitForDisk();
    if (me.kind === 'control') this.pending ??= new Map();
    const round = await this.pinger.round(() => this.ping(), this.gone.signal);
    if (this.gone.signal.aborted) return undefined;
    this.freshen(round);
    const mine = round.pongs.filter((g) => !this.clusterId || !g.clusterId || g.clusterId === this.clusterId);
    if (me.kind === 'control' && !keep.kept.accepted && this.p.founds !== false) {
      const view = { me, seeds: this.seeds, pongs: round.pongs, heardOf: this.pinger.heardOf() };
      if (await this.founder.round(view)) return undefined;
    }
    const choice = elect(this.self(), mine);
    if (choice.kind === 'none') {
      log.debug(`No master yet: ${choice.why}.`);
      this.misses = Math.min(this.misses + 1, 5);
      await pause(this.p.clock, (this.p.bounds.beat / 20) * this.misses, this.gone.signal);
      return undefined;
    }
    this.misses = 0;
    log.info(`Elected ${choice.mate.addr} (${choice.by}).`);
    return choice.mate;
  }

  /** A node that cannot sync a vote neither stands for election nor joins; it only answers pings. */
  private async waitForDisk(): Promise<undefined> {
    this.dropPending();
    await pause(this.p.clock, this.p.bounds.diskRetryEvery, this.gone.signal);
  }

  private ping(): Ping {
    return { from: this.p.me, known: this.pinger.controls(), clusterId: this.clusterId };
  }

  private async keepFresh(): Promise<void> {
    const { clock, bounds } = this.p;
    while (!this.gone.signal.aborted) {
      await pause(clock, bounds.beat / 4, this.gone.signal);
      if (this.following && clock.now() - this.freshAt > bounds.grace / 2)
        this.freshen(await this.pinger.round(() => this.ping(), this.gone.signal));
    }
  }

  get freshAt(): number {
    return this.lease.freshAt;
  }

  private freshen(round: Round): void {
    this.lease.renewFromRound(round, this.applied, this.p.me.id);
  }

  private dropPending(): void {
    for (const j of this.pending?.values() ?? []) j.fail(new Mishap('not-master', 'another control was elected'));
    this.pending = undefined;
  }

  private async lead(): Promise<void> {
    const { me, keep, bounds, clock, log } = this.p;
    const acc = keep.kept.accepted;
    if (!acc) return;
    const joined = (): ReadonlySet<string> => new Set([me.id, ...(this.pending?.keys() ?? [])]);
    const end = clock.now() + bounds.joinWait;
    while (!quorum(acc.voters, joined())) {
      if (clock.now() >= end || this.gone.signal.aborted) return this.dropPending();
      await this.nudge(Math.min(bounds.joinWait / 4, end - clock.now()));
    }
    const joins = [...(this.pending?.values() ?? [])];
    const askedAt = clock.now();
    const term = Math.max(keep.kept.term, ...joins.map((j) => j.join.term)) + 1;
    await keep.promise(term, me.id);
    const asking = { me, clock, circuits: this.p.circuits, bounds };
    const { promised, newest } = await gatherPromises(asking, acc, term, joins.map((j) => j.join.from));
    const yes = new Set([me.id, ...promised]);
    if (keep.kept.term !== term || !quorum(acc.voters, yes) || !quorum(newest.voters, yes)) {
      log.info(`Won no majority in term ${term}.`);
      return this.dropPending();
    }
    log.info(`Master in term ${term} with ${yes.size} promises.`);
    const joiners = new Map(joins.flatMap((j) => (promised.has(j.join.from.id) ? [[j.join.from.id, j] as const] : [])));
    const master = new Master(
      {
        me, clock, circuits: this.p.circuits, keep, bounds, log,
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
      for (const j of early?.values() ?? []) j.fail(mishapOf(e));
      master.stepDown(mishapOf(e).message);
    } finally {
      this.master = undefined;
      if (!keep.writable) tellSteppedDown(this.p, master.committed);
    }
  }

  private nudge(ms: number): Promise<void> {
    const early = new AbortController();
    this.wake = () => early.abort();
    return pause(this.p.clock, ms, early.signal);
  }

  private async follow(master: Mate): Promise<void> {
    const { me, circuits, bounds, clock, keep, log } = this.p;
    this.dropPending();
    this.joining = master;
    try {
      const ping: Ping = { from: me, known: [], clusterId: this.clusterId };
      const join: Join = { from: me, term: keep.kept.term, accepted: acceptedMark(keep), clusterId: this.clusterId };
      await joinMaster({ me, clock, circuits, bounds }, master, ping, join);
      this.following = master;
    } finally {
      this.joining = undefined;
    }
    log.info(`Joined ${master.addr}.`);
    await this.watchMaster();
    log.info('Lost the master.');
    this.following = undefined;
    if (keep.kept.accepted === undefined) await pause(clock, bounds.beat / 10, this.gone.signal);
  }

  private async watchMaster(): Promise<void> {
    const { me, circuits, bounds, clock } = this.p;
    let good = clock.now();
    let refused = 0;
    let unlisted = 0;
    while (!this.gone.signal.aborted) {
      const master = this.following;
      if (!master) return;
      const sent = clock.now();
      try {
        const ping: MasterPing = { from: me, term: this.term, applied: markOf(this.applied), report: this.p.report?.() ?? null };
        const pong = MasterPong.parse(await circuits.call(master.addr, 'zen/master-ping', ping, { within: bounds.silent }));
        unlisted = pong.listed ? 0 : unlisted + 1;
        if (!pong.leading || pong.term < this.term || unlisted >= 2) return;
        good = clock.now();
        refused = 0;
        if (pong.listed && !newer(pong.committed, markOf(this.applied))) {
          this.lease.renew(sent - pong.age);
          this.p.onTold?.(pong.told, sent);
        }
      } catch (e) {
        if (e instanceof CircuitRefused) refused++;
      }
      if (refused >= 2 || clock.now() - good > bounds.silent) return;
      await this.nudge(refused === 1 ? bounds.beat / 10 : bounds.beat);
    }
  }

  private pong(): Pong {
    const self = this.self();
    return {
      from: this.p.me,
      eligible: this.p.me.kind === 'control' && this.p.keep.writable,
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

  async handle(inq: Inquiry): Promise<unknown> {
    mustBeFor(this.p.me, inq, (from) => this.pinger.learn([from], this.p.me));
    switch (inq.kind) {
      case 'zen/ping': {
        const ping = Ping.parse(inq.body);
        this.pinger.learn([ping.from], this.p.me);
        return this.pong();
      }
      case 'zen/found':
        return this.founder.onVote(this.p.me, inq.body);
      case 'zen/join':
        return this.onJoin(Join.parse(inq.body));
      case 'zen/validate':
        return grantVote(this.p.keep, this.joining?.id, inq.body);
      case 'zen/publish':
        return this.receiver.onPublish(inq.body);
      case 'zen/commit':
        return this.receiver.onCommit(Commit.parse(inq.body).mark);
      case 'zen/node-ping':
        return this.onNodePing(NodePing.parse(inq.body));
      case 'zen/master-ping': {
        const ping = MasterPing.parse(inq.body);
        const m = this.master;
        if (m && ping.term > m.term) m.stepDown(`${ping.from.addr} is in term ${ping.term}`);
        if (m && !m.lost.aborted) return { ...m.onMasterPing(ping), told: this.p.tell?.() };
        return { leading: false, listed: false, term: this.term, committed: markOf(undefined), age: 0 };
      }
      case 'zen/stepped-down': {
        const { id } = Ping.pick({ from: true }).parse(inq.body).from;
        if (this.following?.id === id) this.wake();
        return {};
      }
      case 'zen/leave': {
        const { id } = Ping.pick({ from: true }).parse(inq.body).from;
        await this.leading?.submit((s) => reduce(s, { kind: 'leave', id }));
        return {};
      }
      default:
        throw new Mishap('unknown-kind', `no such inquiry: ${inq.kind}`);
    }
  }

  private onNodePing(ping: NodePing): unknown {
    if (ping.clusterId === this.clusterId) this.master?.onAnotherMaster(ping.term, ping.from.addr);
    return { term: this.term, applied: markOf(this.applied), report: this.p.report?.() ?? null };
  }

  private onJoin(join: Join): Promise<{ term: number }> {
    if (join.clusterId && join.clusterId !== this.clusterId)
      throw new Mishap('other-cluster', `this is cluster ${this.clusterId}`);
    const m = this.master;
    if (m && !m.lost.aborted) return m.onJoin(join);
    const pending = this.pending;
    if (!pending) throw new Mishap('not-master', 'this node follows another');
    return new Promise((done, fail) => {
      pending.get(join.from.id)?.fail(new Mishap('superseded', 'a later join replaced this one'));
      pending.set(join.from.id, { join, done, fail });
      this.wake();
    });
  }
}
