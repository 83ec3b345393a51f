import { inflateSync } from 'node:zlib';
import { markOf, newer, patch, sameMark, unflatten, type Mark, type Mate, type State } from '@tillerstair/state';
import { Line, Mishap } from '@tillerstair/wire';
import type { Keep } from './keep.js';
import { Payload, Publish } from './messages.js';

export interface ReceiverParts {
  readonly keep: Keep;
  readonly onApplied: (s: State) => Promise<void>;
  readonly knows: (id: string) => boolean;
  readonly onTerm: (term: number, from: Mate) => void;
  readonly onPublished: (from: Mate) => void;
}

export class Receiver {
  private readonly applying = new Line('apply');
  applied: State | undefined;

  constructor(private readonly p: ReceiverParts) {}

  apply(s: State): Promise<void> {
    return this.applying.run(async () => {
      if (this.applied && !newer(markOf(s), markOf(this.applied))) return;
      await this.p.onApplied(s);
      this.applied = s;
    });
  }

  async onPublish(body: unknown): Promise<{ verdict: 'accepted' | 'need-full' }> {
    const { from, term, clusterId, packed } = Publish.parse(body);
    const { keep } = this.p;
    const mine = keep.kept.accepted?.clusterId ?? '';
    if (mine ? mine !== clusterId : !this.p.knows(from.id))
      throw new Mishap('other-cluster', 'this node is not of that cluster');
    if (term < keep.kept.term || (term === keep.kept.term && keep.kept.promisedTo !== from.id))
      throw new Mishap('stale-term', `term ${keep.kept.term} is promised`);
    const payload = Payload.parse(JSON.parse(inflateSync(Buffer.from(packed, 'base64')).toString('utf8')));
    const acc = keep.kept.accepted;
    let next: State;
    if ('diff' in payload) {
      if (acc && sameMark(markOf(acc), payload.diff.to)) return this.held();
      const patched = acc && patch(acc, payload.diff);
      if (!patched) return { verdict: 'need-full' };
      next = patched;
    } else {
      next = unflatten(new Map(payload.full));
      if (acc && sameMark(markOf(acc), markOf(next))) return this.held();
    }
    if (next.term !== term || (acc && !newer(markOf(next), markOf(acc)))) throw new Mishap('stale-state', 'a newer state is held');
    this.p.onTerm(term, from);
    if (term > keep.kept.term) await keep.promise(term, from.id);
    if (keep.kept.term !== term) throw new Mishap('stale-term', `term ${keep.kept.term} is promised`);
    const acceptedMeanwhile = keep.kept.accepted;
    if (acceptedMeanwhile && !newer(markOf(next), markOf(acceptedMeanwhile))) throw new Mishap('stale-state', 'a newer state was accepted meanwhile');
    await keep.accept(next);
    this.p.onPublished(from);
    return { verdict: 'accepted' };
  }

  private async held(): Promise<{ verdict: 'accepted' }> {
    await this.p.keep.synced();
    return { verdict: 'accepted' };
  }

  async onCommit(mark: Mark): Promise<unknown> {
    const acc = this.p.keep.kept.accepted;
    if (!acc) throw new Mishap('not-held', 'that state is not held');
    const { applied } = this;
    if (applied && !newer(mark, markOf(applied))) return {};
    if (!sameMark(markOf(acc), mark)) throw new Mishap('not-held', 'that state is not held');
    await this.apply(acc);
    return {};
  }
}
