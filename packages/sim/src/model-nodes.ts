/** What each control has promised and stored, seen from outside: checks that nothing of it is taken back. */
import { inflateSync } from 'node:zlib';
import { versionOf, isNewerVersion, type StateVersion, type State } from '@tillerstair/state';
import { PublishResponse, PublishPayload, Publish, Validate } from '@tillerstair/zen';
import { z } from 'zod';
import type { Machine } from './machine.js';
import type { ModelHistory } from './model-history.js';
import type { ObservedAnswer } from './sim-net.js';

const Addressed = z.object({ to: z.string() });
/** After this long without a change a state in memory is on the disk too, unless that is slow. */
const syncedAfterMs = 10;

interface StateInMemory {
  readonly version: StateVersion;
  readonly since: number;
}

const markText = (m: StateVersion): string => `${m.term}.${m.version}`;

const publishedMark = (packed: string): StateVersion => {
  const payload = PublishPayload.parse(
    JSON.parse(inflateSync(Buffer.from(packed, 'base64')).toString('utf8')),
  );
  if ('diff' in payload) return payload.diff.to;
  const head = new Map(payload.full).get('head') ?? '{}';
  return versionOf(z.object({ term: z.number(), version: z.number() }).parse(JSON.parse(head)));
};

/** Follows the controls of a run by the identity that stands on their disks. */
export class ModelNodes {
  private readonly votes = new Map<string, string>();
  private readonly grantedTerms = new Map<string, number>();
  private readonly acknowledged = new Map<string, StateVersion>();
  private readonly stored = new Map<string, StateVersion>();
  private readonly inMemory = new Map<string, StateInMemory>();
  private readonly applied = new Map<
    Machine,
    { readonly life: object; readonly mark: StateVersion }
  >();
  private readonly identities = new Map<Machine, string>();

  constructor(private readonly history: ModelHistory) {}

  /** The identity on a machine's disk, as far as it is known. */
  identityOf(m: Machine): string | undefined {
    return this.identities.get(m);
  }

  /** The disk of this machine is gone. */
  forgetDisk(m: Machine): void {
    this.identities.delete(m);
  }

  answered(a: ObservedAnswer): void {
    if (a.kind === 'zen/validate') this.voted(a);
    if (a.kind === 'zen/publish') this.accepted(a);
  }

  private voted(a: ObservedAnswer): void {
    const { from, term } = Validate.parse(a.body);
    const { to } = Addressed.parse(a.body);
    const key = `${to} ${term}`;
    const before = this.votes.get(key);
    if (before !== undefined && before !== from.id)
      this.history.addFinding(
        'one vote a term',
        `${to} votes for ${before} and ${from.id} in term ${term}`,
      );
    this.votes.set(key, from.id);
    this.grantedTerms.set(to, Math.max(term, this.grantedTerms.get(to) ?? 0));
  }

  private accepted(a: ObservedAnswer): void {
    if (PublishResponse.parse(a.answer).outcome !== 'accepted') return;
    const { packed, term } = Publish.parse(a.body);
    const { to } = Addressed.parse(a.body);
    const mark = publishedMark(packed);
    if (isNewerVersion(mark, this.acknowledged.get(to) ?? versionOf(undefined)))
      this.acknowledged.set(to, mark);
    if (isNewerVersion(mark, this.stored.get(to) ?? versionOf(undefined)))
      this.stored.set(to, mark);
    this.grantedTerms.set(to, Math.max(term, this.grantedTerms.get(to) ?? 0));
  }

  /** Looks at a control that is up. */
  observe(m: Machine, now: number): void {
    const { control } = m;
    if (!control) return;
    const { id } = control;
    const before = this.identities.get(m);
    if (before !== undefined && before !== id && this.acknowledged.has(before))
      this.history.addFinding(
        'terms and versions never go back',
        `${m.addr} forgot who it was: ${before} is ${id} now`,
      );
    this.identities.set(m, id);
    const mark = versionOf(control.zen.accepted);
    const least = this.acknowledged.get(id);
    if (least && isNewerVersion(least, mark))
      this.history.addFinding(
        'terms and versions never go back',
        `${m.addr} holds ${markText(mark)}, had stored ${markText(least)}`,
      );
    const granted = this.grantedTerms.get(id) ?? 0;
    if (control.zen.term < granted)
      this.history.addFinding(
        'terms and versions never go back',
        `${m.addr} is in term ${control.zen.term}, had promised ${granted}`,
      );
    this.observeApplied(m, control.zen.applied);
    this.observeStored(m, id, mark, now);
  }

  private observeApplied(m: Machine, s: State | undefined): void {
    const mark = versionOf(s);
    const before = this.applied.get(m);
    if (before?.life === m.incarnation && isNewerVersion(before.mark, mark))
      this.history.addFinding(
        'terms and versions never go back',
        `${m.addr} applies ${markText(mark)} after ${markText(before.mark)}`,
      );
    this.applied.set(m, { life: m.incarnation, mark });
  }

  private observeStored(m: Machine, id: string, mark: StateVersion, now: number): void {
    const held = this.inMemory.get(id);
    if (
      !held ||
      markText(held.version) !== markText(mark) ||
      m.incarnation.frozen ||
      m.drive.delay > 1 ||
      m.drive.full ||
      m.drive.stalled
    )
      this.inMemory.set(id, { version: mark, since: now });
    else if (
      now - held.since > syncedAfterMs &&
      isNewerVersion(mark, this.stored.get(id) ?? versionOf(undefined))
    )
      this.stored.set(id, mark);
  }

  /** Whether the disk that holds this identity has the state. */
  stores(id: string, s: State): boolean {
    const mark = this.stored.get(id);
    return mark !== undefined && !isNewerVersion(versionOf(s), mark);
  }
}
