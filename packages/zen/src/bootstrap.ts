import { createHash } from 'node:crypto';
import { bootstrapState, type Member, type Replication } from '@tillerstair/state';
import { toRpcError, type Transport, type Clock, type Logger } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { ElectionStore } from './election-store.js';
import { BootstrapVote, Voted, type PingResponse } from './messages.js';

const named = (ms: readonly Member[]): string =>
  ms
    .map((m) => `${m.id}@${m.addr}`)
    .sort()
    .join(' ');

export const clusterIdOf = (members: readonly Member[]): string =>
  createHash('sha256').update(named(members)).digest('hex').slice(0, 16);

export interface BootstrapView {
  readonly me: Member;
  readonly seeds: readonly string[];
  readonly pingResponses: readonly PingResponse[];
  readonly heardOf: readonly Member[];
}

export const closureOf = (v: BootstrapView): { members: readonly Member[]; why: string } => {
  const answered = new Set([v.me.addr, ...v.pingResponses.map((p) => p.from.addr)]);
  const unresponsive = v.seeds.filter((s) => !answered.has(s));
  if (unresponsive.length > 0)
    return { members: [], why: `seeds ${unresponsive.join(', ')} have not replied` };
  const bootstrapped = v.pingResponses.find((p) => p.clusterId !== '');
  if (bootstrapped)
    return { members: [], why: `${bootstrapped.from.addr} knows a bootstrapped cluster` };
  const members = new Map<string, Member>([[v.me.id, v.me]]);
  for (const p of v.pingResponses) if (p.from.kind === 'control') members.set(p.from.id, p.from);
  const heard = [...v.heardOf, ...v.pingResponses.flatMap((p) => p.known)].filter(
    (m) => m.kind === 'control',
  );
  const missing = heard.filter((m) => !members.has(m.id) && !answered.has(m.addr));
  if (missing.length > 0)
    return { members: [], why: `${missing.map((m) => m.addr).join(', ')} heard of but silent` };
  return { members: [...members.values()].sort((a, b) => (a.id < b.id ? -1 : 1)), why: '' };
};

export class Bootstrapper {
  private lastView = '';
  private since = 0;

  constructor(
    private readonly clock: Clock,
    private readonly transport: Transport,
    private readonly electionStore: ElectionStore,
    private readonly bounds: ZenBounds,
    private readonly log: Logger,
    private readonly slots: number,
    private readonly replication?: Replication,
  ) {}

  async round(view: BootstrapView): Promise<boolean> {
    const { members, why } = closureOf(view);
    const name = named(members);
    if (members.length === 0 || name !== this.lastView) {
      if (why) this.log.info(`Not bootstrapping yet: ${why}.`);
      this.lastView = name;
      this.since = this.clock.now();
      return false;
    }
    if (
      this.clock.now() - this.since < this.bounds.bootstrapStillFor ||
      members[0]?.id !== view.me.id
    )
      return false;
    if (!(await this.bootstrapVote(view.me, members))) return false;
    const votes = await Promise.all(
      members.filter((m) => m.id !== view.me.id).map((m) => this.ask(view.me, m, members)),
    );
    if (
      !votes.every(Boolean) ||
      named(this.electionStore.persisted.bootstrapVote) !== name ||
      this.electionStore.persisted.accepted
    )
      return false;
    const clusterId = clusterIdOf(members);
    await this.electionStore.accept(
      bootstrapState(clusterId, members, this.slots, this.replication),
    );
    this.log.info(`Bootstrapped cluster ${clusterId} with ${members.length} controls.`);
    return true;
  }

  private async ask(me: Member, to: Member, members: readonly Member[]): Promise<boolean> {
    try {
      const back = await this.transport.call(
        to.addr,
        'zen/bootstrap',
        { from: me, members },
        { timeoutMs: this.bounds.joinWait },
      );
      return Voted.parse(back).yes;
    } catch (e) {
      this.log.warn(`No bootstrapping vote from ${to.addr}: ${toRpcError(e).message}.`);
      return false;
    }
  }

  private async bootstrapVote(me: Member, members: readonly Member[]): Promise<boolean> {
    const { accepted, bootstrapVote } = this.electionStore.persisted;
    if (accepted || !members.some((m) => m.id === me.id)) return false;
    if (named(bootstrapVote) === named(members)) {
      await this.electionStore.synced();
      return true;
    }
    const addrs = new Set(members.map((m) => m.addr));
    if (!bootstrapVote.every((m) => addrs.has(m.addr))) return false;
    await this.electionStore.bootstrapVote(members);
    return true;
  }

  async onVote(me: Member, body: unknown): Promise<{ yes: boolean }> {
    const { members } = BootstrapVote.parse(body);
    if (named(members) !== this.lastView) return { yes: false };
    return { yes: await this.bootstrapVote(me, members) };
  }
}
