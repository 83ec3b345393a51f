import { createHash } from 'node:crypto';
import { foundingState, type Mate, type Replication } from '@tillerstair/state';
import { mishapOf, type Circuits, type Clock, type Log } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { Keep } from './keep.js';
import { FoundVote, Voted, type Pong } from './messages.js';

const named = (ms: readonly Mate[]): string =>
  ms
    .map((m) => `${m.id}@${m.addr}`)
    .sort()
    .join(' ');

export const clusterIdOf = (members: readonly Mate[]): string =>
  createHash('sha256').update(named(members)).digest('hex').slice(0, 16);

export interface FoundView {
  readonly me: Mate;
  readonly seeds: readonly string[];
  readonly pongs: readonly Pong[];
  readonly heardOf: readonly Mate[];
}

export const closureOf = (v: FoundView): { members: readonly Mate[]; why: string } => {
  const answered = new Set([v.me.addr, ...v.pongs.map((p) => p.from.addr)]);
  const silent = v.seeds.filter((s) => !answered.has(s));
  if (silent.length > 0) return { members: [], why: `seeds ${silent.join(', ')} have not replied` };
  const founded = v.pongs.find((p) => p.clusterId !== '');
  if (founded) return { members: [], why: `${founded.from.addr} knows a founded cluster` };
  const members = new Map<string, Mate>([[v.me.id, v.me]]);
  for (const p of v.pongs) if (p.from.kind === 'control') members.set(p.from.id, p.from);
  const heard = [...v.heardOf, ...v.pongs.flatMap((p) => p.known)].filter((m) => m.kind === 'control');
  const missing = heard.filter((m) => !members.has(m.id) && !answered.has(m.addr));
  if (missing.length > 0) return { members: [], why: `${missing.map((m) => m.addr).join(', ')} heard of but silent` };
  return { members: [...members.values()].sort((a, b) => (a.id < b.id ? -1 : 1)), why: '' };
};

export class Founder {
  private lastView = '';
  private since = 0;

  constructor(
    private readonly clock: Clock,
    private readonly circuits: Circuits,
    private readonly keep: Keep,
    private readonly bounds: ZenBounds,
    private readonly log: Log,
    private readonly slots: number,
    private readonly replication?: Replication,
  ) {}

  async round(view: FoundView): Promise<boolean> {
    const { members, why } = closureOf(view);
    const name = named(members);
    if (members.length === 0 || name !== this.lastView) {
      if (why) this.log.info(`Not founding yet: ${why}.`);
      this.lastView = name;
      this.since = this.clock.now();
      return false;
    }
    if (this.clock.now() - this.since < this.bounds.foundingStill || members[0]?.id !== view.me.id) return false;
    if (!(await this.vote(view.me, members))) return false;
    const votes = await Promise.all(members.filter((m) => m.id !== view.me.id).map((m) => this.ask(view.me, m, members)));
    if (!votes.every(Boolean) || named(this.keep.kept.vote) !== name || this.keep.kept.accepted) return false;
    const clusterId = clusterIdOf(members);
    await this.keep.accept(foundingState(clusterId, members, this.slots, this.replication));
    this.log.info(`Founded cluster ${clusterId} with ${members.length} controls.`);
    return true;
  }

  private async ask(me: Mate, to: Mate, members: readonly Mate[]): Promise<boolean> {
    try {
      const back = await this.circuits.call(to.addr, 'zen/found', { from: me, members }, { within: this.bounds.joinWait });
      return Voted.parse(back).yes;
    } catch (e) {
      this.log.warn(`No founding vote from ${to.addr}: ${mishapOf(e).message}.`);
      return false;
    }
  }

  private async vote(me: Mate, members: readonly Mate[]): Promise<boolean> {
    const { accepted, vote } = this.keep.kept;
    if (accepted || !members.some((m) => m.id === me.id)) return false;
    if (named(vote) === named(members)) {
      await this.keep.synced();
      return true;
    }
    const addrs = new Set(members.map((m) => m.addr));
    if (!vote.every((m) => addrs.has(m.addr))) return false;
    await this.keep.vote(members);
    return true;
  }

  async onVote(me: Mate, body: unknown): Promise<{ yes: boolean }> {
    const { members } = FoundVote.parse(body);
    if (named(members) !== this.lastView) return { yes: false };
    return { yes: await this.vote(me, members) };
  }
}
