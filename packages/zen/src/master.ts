import { deflateSync } from 'node:zlib';
import { diffOf, flatten, markOf, newer, quorum, reduce, sameMark, settleVoters, type Mark, type Mate, type State } from '@tillerstair/state';
import { CircuitRefused, Line, Mishap, mishapOf, pause, lasting } from '@tillerstair/wire';
import type { Change, Committed, MasterParts, MasterView, Task } from './master-types.js';
import { Accepted, NodePong, Promised, type Join, type MasterPing, type Payload } from './messages.js';
import { QuorumRead } from './quorum-read.js';
import { reachNow } from './reach.js';

interface Contact {
  readonly ackedAt: number;
  readonly applied: Mark;
}

const never: Contact = { ackedAt: -Infinity, applied: { term: -1, version: 0 } };

export class Master implements MasterView {
  private readonly stop = lasting();
  private readonly line = new Line('publish');
  private tasks: Task[] = [];
  private base: State;
  committed: State | undefined;
  committedAt = -Infinity;
  private readonly quorumRead: QuorumRead;
  private readonly seen = new Map<string, Mark>();
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
      deposed: () => p.keep.kept.term !== term,
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
    for (const t of this.tasks) t.fail(new Mishap('not-master', 'this control is no longer master'));
    this.tasks = [];
    for (const w of [...this.applyWaits]) w();
    this.line.close();
  }

  async begin(joiners: readonly Mate[], askedAt: number): Promise<void> {
    const { me } = this.p;
    for (const m of joiners) this.contacts.set(m.id, { ...never, ackedAt: askedAt });
    await this.submit((s) => [me, ...joiners].reduce((t, mate) => reduce(t, { kind: 'join', mate }), s));
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
      if (this.lost.aborted) return fail(new Mishap('not-master', 'this control is no longer master'));
      this.tasks.push({ change, proven, done, fail });
      if (this.tasks.length === 1) void this.line.run(() => this.drain());
    });
  }

  private async drain(): Promise<void> {
    const tasks = this.tasks;
    this.tasks = [];
    const going: Task[] = [];
    const refused: (readonly [Task, Mishap])[] = [];
    let next = this.base;
    for (const t of tasks) {
      try {
        next = t.change(next);
        going.push(t);
      } catch (e) {
        refused.push([t, mishapOf(e)]);
      }
    }
    next = this.p.settle(next);
    try {
      const changed = next !== this.base || !this.committed;
      if (changed) await this.publish({ ...next, term: this.term, version: this.base.version + 1, master: this.p.me.id });
      const state = this.committed;
      if (!state) throw new Mishap('not-master', 'nothing is committed');
      const ends = { state, at: this.committedAt };
      for (const t of going) this.end(t, changed, () => t.done(ends));
      for (const [t, why] of refused) this.end(t, changed, () => t.fail(why));
      const settled = settleVoters(state);
      if (settled !== state) void this.submit(settleVoters).catch(() => undefined);
    } catch (e) {
      const m = mishapOf(e);
      for (const t of going) t.fail(new Mishap('unknown', m.message, 'unknown'));
      for (const [t] of refused) t.fail(new Mishap('unavailable', m.message));
      this.stepDown(m.message);
    }
  }

  /** Ends a task at once where a publish since it came has proven this master, else after a quorum read. */
  private end(task: Task, published: boolean, tell: () => void): void {
    if (published || !task.proven) return tell();
    this.confirm().then(tell, (e: unknown) => task.fail(new Mishap('unavailable', mishapOf(e).message)));
  }

  private targets(s: State): readonly Mate[] {
    const all = new Map([...s.voterMates, ...s.nodes]);
    all.delete(this.p.me.id);
    return [...all.values()];
  }

  private async publish(next: State): Promise<void> {
    const { keep, me, clock, bounds, apply, log } = this.p;
    const old = this.base;
    const mark = markOf(next);
    const diff = this.pack({ diff: diffOf(old, next) });
    let full = '';
    const fullOf = () => (full ||= this.pack({ full: [...flatten(next)] }));
    const yes = new Set<string>();
    const taken = new Set<Mate>();
    const targets = this.targets(next);
    if (keep.kept.term !== this.term) throw new Mishap('stale', `term ${keep.kept.term} was promised meanwhile`);
    await new Promise<void>((done, fail) => {
      const beat = clock.after(bounds.publishWait, () => fail(new Mishap('no-majority', 'no majority synced the state in time')));
      const onLost = () => fail(new Mishap('not-master', 'stepped down meanwhile', 'unknown'));
      this.lost.addEventListener('abort', onLost, { once: true });
      const count = (id: string) => {
        yes.add(id);
        if (!quorum(next.voters, yes) || !quorum(old.voters, yes)) return;
        beat.stop();
        this.lost.removeEventListener('abort', onLost);
        done();
      };
      keep.accept(next).then(() => count(me.id), (e: unknown) => log.warn(`Not synced here: ${mishapOf(e).message}.`));
      for (const mate of targets)
        void this.sendUntil(mate, next, diff, fullOf, clock.now() + bounds.publishWait)
          .then((ok) => {
            if (!ok) return;
            if (this.committed && !newer(mark, markOf(this.committed))) void this.commit(mate, mark);
            else taken.add(mate);
            count(mate.id);
          })
          .catch(() => undefined);
    });
    this.base = next;
    this.committed = next;
    this.committedAt = this.p.clock.now();
    this.noteDeparted(old, next);
    for (const mate of taken) void this.commit(mate, mark);
    await apply(next);
    this.watch();
  }

  private pack(payload: Payload): string {
    return deflateSync(JSON.stringify(payload)).toString('base64');
  }

  private async sendUntil(mate: Mate, next: State, diff: string, fullOf: () => string, end: number): Promise<boolean> {
    const { clock, bounds } = this.p;
    const voter = next.voterMates.has(mate.id);
    while (!this.lost.aborted) {
      if (await this.send(mate, next, diff, fullOf)) return true;
      if (!voter || (this.committed && !newer(markOf(next), markOf(this.committed))) || clock.now() >= end) return false;
      await pause(clock, bounds.beat / 20, this.lost);
    }
    return false;
  }

  private async send(mate: Mate, next: State, diff: string, fullOf: () => string): Promise<boolean> {
    const { circuits, me, bounds, log } = this.p;
    const head = { from: me, term: this.term, clusterId: next.clusterId };
    const ask = async (packed: string) =>
      Accepted.parse(await circuits.call(mate.addr, 'zen/publish', { ...head, to: mate.id, packed }, { within: bounds.publishWait }));
    try {
      const has = this.seen.get(mate.id);
      const first = has && sameMark(has, markOf(this.base)) && this.base !== next ? await ask(diff) : await ask(fullOf());
      const last = first.verdict === 'need-full' ? await ask(fullOf()) : first;
      if (last.verdict !== 'accepted') return false;
      this.seen.set(mate.id, markOf(next));
      return true;
    } catch (e) {
      const m = mishapOf(e);
      this.seen.delete(mate.id);
      if (m.code === 'stale-term') this.stepDown(`${mate.addr} promised a later term`);
      log.debug(`Publish to ${mate.addr} failed: ${m.message}.`);
      return false;
    }
  }

  private async commit(mate: Mate, mark: Mark): Promise<void> {
    const { circuits, me, bounds } = this.p;
    try {
      await circuits.call(mate.addr, 'zen/commit', { from: me, to: mate.id, mark }, { within: bounds.silent });
      this.noteApplied(mate.id, mark);
    } catch {
      this.seen.delete(mate.id);
    }
  }

  private noteApplied(id: string, applied: Mark): void {
    const old = this.contacts.get(id) ?? never;
    if (newer(applied, old.applied)) this.contacts.set(id, { ...old, applied });
    for (const w of [...this.applyWaits]) w();
  }

  private noteDeparted(old: State, next: State): void {
    const at = this.p.clock.now();
    for (const [id, m] of old.nodes) if (m.kind === 'front' && !next.nodes.has(id)) this.departed.set(id, at);
    for (const [id, t] of this.departed) if (at - t > this.p.bounds.grace * 2) this.departed.delete(id);
  }

  async inForce(c: Committed): Promise<void> {
    const { clock, bounds } = this.p;
    const mark = markOf(c.state);
    const ready = (): number => {
      let until = Math.max(this.electedAt, ...this.departed.values()) + bounds.grace;
      for (const m of c.state.nodes.values()) {
        const k = this.contacts.get(m.id) ?? never;
        if (m.kind === 'front' && newer(mark, k.applied)) until = Math.max(until, c.at + bounds.grace);
      }
      return until;
    };
    for (;;) {
      if (this.lost.aborted) throw new Mishap('unknown', 'this control stopped being master meanwhile', 'unknown');
      const wait = ready() - clock.now();
      if (wait <= 0) return;
      await new Promise<void>((done) => {
        const wake = () => {
          beat.stop();
          this.applyWaits.delete(wake);
          done();
        };
        const beat = clock.after(wait + 1, wake);
        this.applyWaits.add(wake);
      });
    }
  }

  confirm(): Promise<State> {
    return this.quorumRead.confirm();
  }

  reach(mates: readonly Mate[]): Promise<ReadonlySet<string>> {
    return reachNow(this.p, { from: this.p.me, term: this.term, clusterId: this.base.clusterId }, mates);
  }

  silentFor(id: string): number {
    return this.p.clock.now() - Math.max(this.electedAt, this.contacts.get(id)?.ackedAt ?? -Infinity);
  }

  heard(id: string): boolean {
    return id === this.p.me.id || this.p.clock.now() - (this.contacts.get(id) ?? never).ackedAt <= this.p.bounds.beat * 2;
  }

  synced(id: string): boolean {
    return id === this.p.me.id || !newer(markOf(this.committed), markOf(this.seen.get(id)));
  }

  private age(): number {
    const now = this.p.clock.now();
    const of = (group: readonly string[]): number => {
      const ages = group.map((id) => (id === this.p.me.id ? 0 : now - (this.contacts.get(id)?.ackedAt ?? -Infinity)));
      return ages.sort((a, b) => a - b)[Math.floor(group.length / 2)] ?? Infinity;
    };
    return Math.max(of(this.base.voters.now), of(this.base.voters.next));
  }

  private async watchSelf(): Promise<void> {
    const { clock, bounds, keep } = this.p;
    while (!this.lost.aborted) {
      if (!keep.writable) this.stepDown('its own disk takes no writes');
      if (this.age() > bounds.silent) this.stepDown('no majority of controls replies');
      await pause(clock, bounds.beat / 4, this.lost);
    }
  }

  private watch(): void {
    for (const mate of this.targets(this.base)) {
      if (this.watched.has(mate.id)) continue;
      this.watched.add(mate.id);
      void this.watchMate(mate.id);
    }
  }

  private async watchMate(id: string): Promise<void> {
    const { clock, circuits, bounds, me, log } = this.p;
    let good = clock.now();
    let refused = 0;
    while (!this.lost.aborted) {
      const mate = this.base.nodes.get(id) ?? this.base.voterMates.get(id);
      if (!mate) break;
      const sent = clock.now();
      try {
        const body = { from: me, to: id, term: this.term, clusterId: this.base.clusterId };
        const pong = NodePong.parse(await circuits.call(mate.addr, 'zen/node-ping', body, { within: bounds.silent }));
        if (pong.term > this.term) return this.stepDown(`${mate.addr} is in term ${pong.term}`);
        good = clock.now();
        refused = 0;
        this.contacts.set(id, { ...(this.contacts.get(id) ?? never), ackedAt: sent });
        this.noteApplied(id, pong.applied);
        this.p.onReport(id, pong.report);
        if (this.committed && newer(markOf(this.committed), pong.applied)) void this.catchUp(mate, this.committed);
      } catch (e) {
        if (e instanceof CircuitRefused || mishapOf(e).code === 'other-node') refused++;
      }
      const listed = this.base.nodes.has(id);
      const heard = Math.max(good, this.contacts.get(id)?.ackedAt ?? -Infinity);
      if (listed && (refused >= 2 || clock.now() - heard > bounds.silent)) {
        refused = 0;
        log.info(`Mate ${mate.kind} ${mate.addr} failed.`);
        this.submit((s) => reduce(s, { kind: 'leave', id })).catch(() => undefined);
      }
      const early = new AbortController();
      this.hurry.set(mate.addr, () => early.abort());
      const stop = (): void => early.abort();
      this.lost.addEventListener('abort', stop, { once: true });
      await pause(clock, refused === 1 ? bounds.beat / 10 : bounds.beat, early.signal);
      this.lost.removeEventListener('abort', stop);
      this.hurry.delete(mate.addr);
    }
    this.watched.delete(id);
  }

  circuitLost(addr: string): void {
    this.hurry.get(addr)?.();
  }

  private async catchUp(mate: Mate, state: State): Promise<void> {
    if (!(await this.send(mate, state, '', () => this.pack({ full: [...flatten(state)] })))) return;
    await this.commit(mate, markOf(state));
  }

  async onJoin(join: Join): Promise<{ term: number }> {
    const { circuits, me, bounds, log } = this.p;
    const body = { from: me, term: this.term, clusterId: this.base.clusterId, have: markOf(this.base), to: join.from.id };
    if (join.term > this.term) {
      this.stepDown(`${join.from.addr} joins with term ${join.term}`);
      throw new Mishap('not-master', 'this control is no longer master');
    }
    const askedAt = this.p.clock.now();
    Promised.parse(await circuits.call(join.from.addr, 'zen/validate', body, { within: bounds.joinWait }));
    this.contacts.set(join.from.id, { ...never, ackedAt: askedAt });
    this.seen.delete(join.from.id);
    const { state } = await this.submit((s) => reduce(s, { kind: 'join', mate: join.from }));
    await this.catchUp(join.from, state);
    log.info(`Mate ${join.from.kind} ${join.from.addr} joined.`);
    return { term: this.term };
  }

  onMasterPing(ping: MasterPing): { leading: boolean; listed: boolean; term: number; committed: Mark; age: number } {
    const { id } = ping.from;
    const listed = this.committed?.nodes.has(id) ?? false;
    if (listed && !this.lost.aborted) {
      this.noteApplied(id, ping.applied);
      this.p.onReport(id, ping.report);
    }
    return { leading: !this.lost.aborted, listed, term: this.term, committed: markOf(this.committed), age: this.age() };
  }

  onAnotherMaster(term: number, addr: string): void {
    if (term <= this.term) return;
    this.anotherMaster++;
    if (this.anotherMaster >= this.p.bounds.pingsFromAnotherMaster) this.stepDown(`${addr} is master in term ${term}`);
  }
}
