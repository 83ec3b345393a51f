/** Tracks the votes, terms and states that each control has acknowledged, and checks that none is ever revoked. */
import { inflateSync } from 'node:zlib';
import { versionOf, isNewerVersion, type StateVersion, type State } from '@tillerstair/state';
import { PublishResponse, PublishPayload, Publish, Validate } from '@tillerstair/zen';
import { z } from 'zod';
import type { Machine } from './machine.js';
import type { ModelHistory } from './model-history.js';
import type { ObservedAnswer } from './sim-net.js';

const Addressed = z.object({ to: z.string() });
/** Time after which an unchanged state in memory is on disk as well, unless the disk is slow; in ms. */
const syncedAfterMs = 10;

interface StateInMemory {
  readonly version: StateVersion;
  readonly since: number;
}

const versionText = (version: StateVersion): string => `${version.term}.${version.version}`;

const publishedVersion = (packed: string): StateVersion => {
  const payload = PublishPayload.parse(
    JSON.parse(inflateSync(Buffer.from(packed, 'base64')).toString('utf8')),
  );
  if ('diff' in payload) return payload.diff.to;
  const head = new Map(payload.full).get('head') ?? '{}';
  return versionOf(z.object({ term: z.number(), version: z.number() }).parse(JSON.parse(head)));
};

/** Tracks the controls of a run by the node id that is stored on their disks. */
export class ModelNodes {
  private readonly votes = new Map<string, string>();
  private readonly grantedTerms = new Map<string, number>();
  private readonly acknowledged = new Map<string, StateVersion>();
  private readonly stored = new Map<string, StateVersion>();
  private readonly inMemory = new Map<string, StateInMemory>();
  private readonly applied = new Map<
    Machine,
    { readonly incarnation: object; readonly version: StateVersion }
  >();
  private readonly identities = new Map<Machine, string>();

  constructor(private readonly history: ModelHistory) {}

  /** The node id on a machine's disk; undefined if it is not known. */
  identityOf(machine: Machine): string | undefined {
    return this.identities.get(machine);
  }

  /** Forgets the node id of a machine that has lost its disk. */
  forgetDisk(machine: Machine): void {
    this.identities.delete(machine);
  }

  /** Checks a vote or an accepted publish that a control answers. */
  answered(answer: ObservedAnswer): void {
    if (answer.kind === 'zen/validate') this.voted(answer);
    if (answer.kind === 'zen/publish') this.accepted(answer);
  }

  private voted(answer: ObservedAnswer): void {
    const { from, term } = Validate.parse(answer.body);
    const { to } = Addressed.parse(answer.body);
    const key = `${to} ${term}`;
    const previous = this.votes.get(key);
    if (previous !== undefined && previous !== from.id)
      this.history.addFinding(
        'one vote a term',
        `${to} voted for ${previous} and ${from.id} in term ${term}`,
      );
    this.votes.set(key, from.id);
    this.grantedTerms.set(to, Math.max(term, this.grantedTerms.get(to) ?? 0));
  }

  private accepted(answer: ObservedAnswer): void {
    if (PublishResponse.parse(answer.answer).outcome !== 'accepted') return;
    const { packed, term } = Publish.parse(answer.body);
    const { to } = Addressed.parse(answer.body);
    const version = publishedVersion(packed);
    if (isNewerVersion(version, this.acknowledged.get(to) ?? versionOf(undefined)))
      this.acknowledged.set(to, version);
    if (isNewerVersion(version, this.stored.get(to) ?? versionOf(undefined)))
      this.stored.set(to, version);
    this.grantedTerms.set(to, Math.max(term, this.grantedTerms.get(to) ?? 0));
  }

  /** Checks the id, the term and the states of a control that is up. */
  observe(machine: Machine, now: number): void {
    const { control } = machine;
    if (!control) return;
    const { id } = control;
    const previous = this.identities.get(machine);
    if (previous !== undefined && previous !== id && this.acknowledged.has(previous))
      this.history.addFinding(
        'terms and versions never go back',
        `${machine.addr} changed its node id from ${previous} to ${id}`,
      );
    this.identities.set(machine, id);
    const version = versionOf(control.zen.accepted);
    const acknowledged = this.acknowledged.get(id);
    if (acknowledged && isNewerVersion(acknowledged, version))
      this.history.addFinding(
        'terms and versions never go back',
        `${machine.addr} has state ${versionText(version)}, had acknowledged ${versionText(acknowledged)}`,
      );
    const granted = this.grantedTerms.get(id) ?? 0;
    if (control.zen.term < granted)
      this.history.addFinding(
        'terms and versions never go back',
        `${machine.addr} is in term ${control.zen.term}, had voted or accepted in term ${granted}`,
      );
    this.observeApplied(machine, control.zen.applied);
    this.observeStored(machine, id, version, now);
  }

  private observeApplied(machine: Machine, state: State | undefined): void {
    const version = versionOf(state);
    const previous = this.applied.get(machine);
    if (previous?.incarnation === machine.incarnation && isNewerVersion(previous.version, version))
      this.history.addFinding(
        'terms and versions never go back',
        `${machine.addr} applied state ${versionText(version)} after ${versionText(previous.version)}`,
      );
    this.applied.set(machine, { incarnation: machine.incarnation, version });
  }

  private observeStored(machine: Machine, id: string, version: StateVersion, now: number): void {
    const inMemory = this.inMemory.get(id);
    if (
      !inMemory ||
      versionText(inMemory.version) !== versionText(version) ||
      machine.incarnation.frozen ||
      machine.drive.delay > 1 ||
      machine.drive.full ||
      machine.drive.stalled
    )
      this.inMemory.set(id, { version, since: now });
    else if (
      now - inMemory.since > syncedAfterMs &&
      isNewerVersion(version, this.stored.get(id) ?? versionOf(undefined))
    )
      this.stored.set(id, version);
  }

  /** Whether the disk with this node id has the state, or a newer one. */
  stores(id: string, state: State): boolean {
    const version = this.stored.get(id);
    return version !== undefined && !isNewerVersion(versionOf(state), version);
  }
}
