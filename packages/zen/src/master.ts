import { deflateSync } from 'node:zlib';
import { diffStates, encodeState, versionOf, isNewerVersion, hasQuorum, reduceState, isSameVersion, completeVotingChange, type StateVersion, type Member, type State } from '@tillerstair/state';
import { ConnectionRefusedError, createAbortController, delay, ElectionError, ProtocolError, RpcError, TaskQueue, toRpcError, UnavailableError } from '@tillerstair/wire';
import type { Change, Committed, MasterParts, MasterView, Task } from './master-types.js';
import { Accepted, NodePingResponse, ValidateResponse, type Join, type MasterPing, type Payload } from './messages.js';
import { QuorumRead } from './quorum-read.js';
import { reachNow } from './reach.js';

interface Contact {
  readonly ackedAt: number;
  readonly applied: StateVersion;
}

const never: Contact = { ackedAt: -Infinity, applied: { term: -1, version: 0 } };

export class Master implements MasterView {
  private readonly stop = createAbortController();
  private readonly taskQueue = new TaskQueue('publish');
  private tasks: Task[] = [];
  private base: State;
  committed: State | undefined;
  committedAt = -Infinity;
  private readonly quorumRead: QuorumRead;
  private readonly seen = new Map<string, StateVersion>();
  private readonly contacts = new Map<string, Contact>();
  private readonly watched = new Set<string>();
  private readonly departed = new Map<string, number>();
  private readonly applyWaits = new Set<() => void>();
  private readonly electedAt: number;
  private anotherMaster = 0;
  private readonly hurry = new Map<string, () => void>();

  constructor(
    private readonly p: MasterParts,
    readonly term: number,
    newest: State,
  ) {
    this.base = newest;
    this.electedAt = p.clock.now();
    this.quorumRead = new QuorumRead({
      ...p, term, lost: this.lost,
      committed: () => this.committed,
      deposed: () => p.electionStore.persisted.term !== term,
      onLaterTerm: (later, addr) => this.stepDown(`${addr} is in term ${later}`),
    });
  }

  get lost(): AbortSignal {
    return this.stop.signal;
  }

  stepDown(why: string): void {
    if (this.stop.signal.aborted) return;
    this.p.log.warn(`Stepping down in term ${this.term}: ${why}.`);
    this.stop.abort();
    for (const t of this.tasks) t.fail(new ElectionError('not-master', 'this control is no longer master'));
    this.tasks = [];
    for (const w of [...this.applyWaits]) w();
    this.taskQueue.close();
  }

  async begin(joiners: readonly Member[], askedAt: number): Promise<void> {
    const { me } = this.p;
    for (const m of joiners) this.contacts.set(m.id, { ...never, ackedAt: askedAt });
    await this.submit((s) => [me, ...joiners].reduce((t, member) => reduceState(t, { kind: 'join', member }), s));
    void this.watchSelf();
  }

  submit(change: Change): Promise<Committed> {
    return this.queue(change, false);
  }

  decide(change: Change): Promise<Committed> {
    return this.queue(change, true);
  }

  private queue(change: Change, proven: boolean): Promise<Committed> {
    return new Promise((done, fail) => {
      if (this.lost.aborted) return fail(new ElectionError('not-master', 'this control is no longer master'));
      this.tasks.push({ change, proven, done, fail });
      if (this.tasks.length === 1) void this.taskQueue.run(() => this.drain());
    });
  }

  private async drain(): Promise<void> {
    const tasks = this.tasks;
    this.tasks = [];
    const going: Task[] = [];
    const refused: (readonly [Task, RpcError])[] = [];
    let next = this.base;
    for (const t of tasks) {
      try {
        next = t.change(next);
        going.push(t);
      } catch (e) {
        refused.push([t, toRpcError(e)]);
      }
    }
    next = this.p.settle(next);
    try {
      const changed = next !== this.base || !this.committed;
      if (changed) await this.publish({ ...next, term: this.term, version: this.base.version + 1, master: this.p.me.id });
      const state = this.committed;
      if (!state) throw new ElectionError('not-master', 'nothing is committed');
      const ends = { state, at: this.committedAt };
      for (const t of going) this.end(t, changed, () => t.done(ends));
      for (const [t, why] of refused) this.end(t, changed, () => t.fail(why));
      const settled = completeVotingChange(state);
      if (settled !== state) void this.submit(completeVotingChange).catch(() => undefined);
    } catch (e) {
      const m = toRpcError(e);
      for (const t of going) t.fail(new ProtocolError('unknown', m.message, 'unknown'));
      for (const [t] of refused) t.fail(new UnavailableError('unavailable', m.message));
      this.stepDown(m.message);
    }
  }

  /** Ends a task at once where a publish since it came has proven this master, else after a quorum read. */
  private end(task: Task, published: boolean, listReport: () => void): void {
    if (published || !task.proven) return listReport();
    this.confirm().then(listReport, (e: unknown) => task.fail(new UnavailableError('unavailable', toRpcError(e).message)));
  }

  private targets(s: State): readonly Member[] {
    const all = new Map([...s.votingMembers, ...s.nodes]);
    all.delete(this.p.me.id);
    return [...all.values()];
  }

  private async publish(next: State): Promise<void> {
    const { electionStore, me, clock, bounds, apply, log } = this.p;
    const old = this.base;
    const stateVersion = versionOf(next);
    const diff = this.pack({ diff: diffStates(old, next) });
    let full = '';
    const fullOf = () => (full ||= this.pack({ full: [...encodeState(next)] }));
    const yes = new Set<string>();
    const taken = new Set<Member>();
    const targets = this.targets(next);
    if (electionStore.persisted.term !== this.term) throw new ElectionError('stale', `term ${electionStore.persisted.term} was voted for meanwhile`);
    await new Promise<void>((done, fail) => {
      const timer = clock.after(bounds.publishWait, () => fail(new ElectionError('no-majority', 'no majority synced the state in time')));
      const onLost = () => fail(new ElectionError('not-master', 'stepped down meanwhile', 'unknown'));
      this.lost.addEventListener('abort', onLost, { once: true });
      const count = (id: string) => {
        yes.add(id);
        if (!hasQuorum(next.voters, yes) || !hasQuorum(old.voters, yes)) return;
        timer.stop();
        this.lost.removeEventListener('abort', onLost);
        done();
      };
      electionStore.accept(next).then(() => count(me.id), (e: unknown) => log.warn(`Not synced here: ${toRpcError(e).message}.`));
      for (const member of targets)
        void this.sendUntil(member, next, diff, fullOf, clock.now() + bounds.publishWait)
          .then((ok) => {
            if (!ok) return;
            if (this.committed && !isNewerVersion(stateVersion, versionOf(this.committed))) void this.commit(member, stateVersion);
            else taken.add(member);
            count(member.id);
          })
          .catch(() => undefined);
    });
    this.base = next;
    this.committed = next;
    this.committedAt = this.p.clock.now();
    this.noteDeparted(old, next);
    for (const member of taken) void this.commit(member, stateVersion);
    await apply(next);
    this.watch();
  }

  private pack(payload: Payload): string {
    return deflateSync(JSON.stringify(payload)).toString('base64');
  }

  private async sendUntil(member: Member, next: State, diff: string, fullOf: () => string, end: number): Promise<boolean> {
    const { clock, bounds } = this.p;
    const voter = next.votingMembers.has(member.id);
    while (!this.lost.aborted) {
      if (await this.send(member, next, diff, fullOf)) return true;
      if (!voter || (this.committed && !isNewerVersion(versionOf(next), versionOf(this.committed))) || clock.now() >= end) return false;
      await delay(clock, bounds.heartbeatInterval / 20, this.lost);
    }
    return false;
  }

  private async send(member: Member, next: State, diff: string, fullOf: () => string): Promise<boolean> {
    const { transport, me, bounds, log } = this.p;
    const head = { from: me, term: this.term, clusterId: next.clusterId };
    const ask = async (packed: string) =>
      Accepted.parse(await transport.call(member.addr, 'zen/publish', { ...head, to: member.id, packed }, { timeoutMs: bounds.publishWait }));
    try {
      const has = this.seen.get(member.id);
      const first = has && isSameVersion(has, versionOf(this.base)) && this.base !== next ? await ask(diff) : await ask(fullOf());
      const last = first.outcome === 'need-full' ? await ask(fullOf()) : first;
      if (last.outcome !== 'accepted') return false;
      this.seen.set(member.id, versionOf(next));
      return true;
    } catch (e) {
      const m = toRpcError(e);
      this.seen.delete(member.id);
      if (m.code === 'stale-term') this.stepDown(`${member.addr} voted in a later term`);
      log.debug(`Publish to ${member.addr} failed: ${m.message}.`);
      return false;
    }
  }

  private async commit(member: Member, stateVersion: StateVersion): Promise<void> {
    const { transport, me, bounds } = this.p;
    try {
      await transport.call(member.addr, 'zen/commit', { from: me, to: member.id, stateVersion }, { timeoutMs: bounds.failureTimeout });
      this.noteApplied(member.id, stateVersion);
    } catch {
      this.seen.delete(member.id);
    }
  }

  private noteApplied(id: string, applied: StateVersion): void {
    const old = this.contacts.get(id) ?? never;
    if (isNewerVersion(applied, old.applied)) this.contacts.set(id, { ...old, applied });
    for (const w of [...this.applyWaits]) w();
  }

  private noteDeparted(old: State, next: State): void {
    const at = this.p.clock.now();
    for (const [id, m] of old.nodes) if (m.kind === 'front' && !next.nodes.has(id)) this.departed.set(id, at);
    for (const [id, t] of this.departed) if (at - t > this.p.bounds.readLease * 2) this.departed.delete(id);
  }

  async inForce(c: Committed): Promise<void> {
    const { clock, bounds } = this.p;
    const stateVersion = versionOf(c.state);
    const ready = (): number => {
      let until = Math.max(this.electedAt, ...this.departed.values()) + bounds.readLease;
      for (const m of c.state.nodes.values()) {
        const k = this.contacts.get(m.id) ?? never;
        if (m.kind === 'front' && isNewerVersion(stateVersion, k.applied)) until = Math.max(until, c.at + bounds.readLease);
      }
      return until;
    };
    for (;;) {
      if (this.lost.aborted) throw new ProtocolError('unknown', 'this control stopped being master meanwhile', 'unknown');
      const wait = ready() - clock.now();
      if (wait <= 0) return;
      await new Promise<void>((done) => {
        const wake = () => {
          timer.stop();
          this.applyWaits.delete(wake);
          done();
        };
        const timer = clock.after(wait + 1, wake);
        this.applyWaits.add(wake);
      });
    }
  }

  confirm(): Promise<State> {
    return this.quorumRead.confirm();
  }

  reach(peers: readonly Member[]): Promise<ReadonlySet<string>> {
    return reachNow(this.p, { from: this.p.me, term: this.term, clusterId: this.base.clusterId }, peers);
  }

  unresponsiveFor(id: string): number {
    return this.p.clock.now() - Math.max(this.electedAt, this.contacts.get(id)?.ackedAt ?? -Infinity);
  }

  heard(id: string): boolean {
    return id === this.p.me.id || this.p.clock.now() - (this.contacts.get(id) ?? never).ackedAt <= this.p.bounds.heartbeatInterval * 2;
  }

  synced(id: string): boolean {
    return id === this.p.me.id || !isNewerVersion(versionOf(this.committed), versionOf(this.seen.get(id)));
  }

  private age(): number {
    const now = this.p.clock.now();
    const of = (group: readonly string[]): number => {
      const ages = group.map((id) => (id === this.p.me.id ? 0 : now - (this.contacts.get(id)?.ackedAt ?? -Infinity)));
      return ages.sort((a, b) => a - b)[Math.floor(group.length / 2)] ?? Infinity;
    };
    return Math.max(of(this.base.voters.current), of(this.base.voters.next));
  }

  private async watchSelf(): Promise<void> {
    const { clock, bounds, electionStore } = this.p;
    while (!this.lost.aborted) {
      if (!electionStore.writable) this.stepDown('its own disk takes no writes');
      if (this.age() > bounds.failureTimeout) this.stepDown('no majority of controls replies');
      await delay(clock, bounds.heartbeatInterval / 4, this.lost);
    }
  }

  private watch(): void {
    for (const member of this.targets(this.base)) {
      if (this.watched.has(member.id)) continue;
      this.watched.add(member.id);
      void this.watchMember(member.id);
    }
  }

  private async watchMember(id: string): Promise<void> {
    const { clock, transport, bounds, me, log } = this.p;
    let good = clock.now();
    let refused = 0;
    while (!this.lost.aborted) {
      const member = this.base.nodes.get(id) ?? this.base.votingMembers.get(id);
      if (!member) break;
      const sent = clock.now();
      try {
        const body = { from: me, to: id, term: this.term, clusterId: this.base.clusterId };
        const pingResponse = NodePingResponse.parse(await transport.call(member.addr, 'zen/node-ping', body, { timeoutMs: bounds.failureTimeout }));
        if (pingResponse.term > this.term) return this.stepDown(`${member.addr} is in term ${pingResponse.term}`);
        good = clock.now();
        refused = 0;
        this.contacts.set(id, { ...(this.contacts.get(id) ?? never), ackedAt: sent });
        this.noteApplied(id, pingResponse.applied);
        this.p.onReport(id, pingResponse.report);
        if (this.committed && isNewerVersion(versionOf(this.committed), pingResponse.applied)) void this.catchUp(member, this.committed);
      } catch (e) {
        if (e instanceof ConnectionRefusedError || toRpcError(e).code === 'other-node') refused++;
      }
      const listed = this.base.nodes.has(id);
      const heard = Math.max(good, this.contacts.get(id)?.ackedAt ?? -Infinity);
      if (listed && (refused >= 2 || clock.now() - heard > bounds.failureTimeout)) {
        refused = 0;
        log.info(`Member ${member.kind} ${member.addr} failed.`);
        this.submit((s) => reduceState(s, { kind: 'leave', id })).catch(() => undefined);
      }
      const early = new AbortController();
      this.hurry.set(member.addr, () => early.abort());
      const stop = (): void => early.abort();
      this.lost.addEventListener('abort', stop, { once: true });
      await delay(clock, refused === 1 ? bounds.heartbeatInterval / 10 : bounds.heartbeatInterval, early.signal);
      this.lost.removeEventListener('abort', stop);
      this.hurry.delete(member.addr);
    }
    this.watched.delete(id);
  }

  connectionLost(addr: string): void {
    this.hurry.get(addr)?.();
  }

  private async catchUp(member: Member, state: State): Promise<void> {
    if (!(await this.send(member, state, '', () => this.pack({ full: [...encodeState(state)] })))) return;
    await this.commit(member, versionOf(state));
  }

  async onJoin(join: Join): Promise<{ term: number }> {
    const { transport, me, bounds, log } = this.p;
    const body = { from: me, term: this.term, clusterId: this.base.clusterId, have: versionOf(this.base), to: join.from.id };
    if (join.term > this.term) {
      this.stepDown(`${join.from.addr} joins with term ${join.term}`);
      throw new ElectionError('not-master', 'this control is no longer master');
    }
    const askedAt = this.p.clock.now();
    ValidateResponse.parse(await transport.call(join.from.addr, 'zen/validate', body, { timeoutMs: bounds.joinWait }));
    this.contacts.set(join.from.id, { ...never, ackedAt: askedAt });
    this.seen.delete(join.from.id);
    const { state } = await this.submit((s) => reduceState(s, { kind: 'join', member: join.from }));
    await this.catchUp(join.from, state);
    log.info(`Member ${join.from.kind} ${join.from.addr} joined.`);
    return { term: this.term };
  }

  onMasterPing(ping: MasterPing): { leading: boolean; listed: boolean; term: number; committed: StateVersion; age: number } {
    const { id } = ping.from;
    const listed = this.committed?.nodes.has(id) ?? false;
    if (listed && !this.lost.aborted) {
      this.noteApplied(id, ping.applied);
      this.p.onReport(id, ping.report);
    }
    return { leading: !this.lost.aborted, listed, term: this.term, committed: versionOf(this.committed), age: this.age() };
  }

  onAnotherMaster(term: number, addr: string): void {
    if (term <= this.term) return;
    this.anotherMaster++;
    if (this.anotherMaster >= this.p.bounds.pingsFromAnotherMaster) this.stepDown(`${addr} is master in term ${term}`);
  }
}
