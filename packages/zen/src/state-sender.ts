/**
 * Sends states and commits to single members. It owns what each member is known to hold on its disk, which decides
 * between diff and full state. Invariant: a version stands there only after the member has acknowledged it, and not
 * after anything sent to it has failed since (docs/zen.md, "Kept, on the ordinary path").
 */
import {
  isNewerVersion,
  isSameVersion,
  versionOf,
  type Member,
  type State,
  type StateVersion,
} from '@tillerstair/state';
import { toRpcError, type Logger, type Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { Mastership } from './mastership.js';
import type { MemberContacts } from './member-contacts.js';
import { PublishResponse } from './messages.js';
import { Publication } from './publication.js';
import type { PublishedState } from './published-state.js';

/** What a member answers to a published state. */
type PublishOutcome = 'accepted' | 'need-full';

/** What a state sender works with. */
export interface StateSenderOptions {
  readonly localMember: Member;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  readonly mastership: Mastership;
  readonly published: PublishedState;
  readonly contacts: MemberContacts;
}

/** Brings states to members, one member at a time. */
export class StateSender {
  private readonly localMember: Member;
  private readonly transport: Transport;
  private readonly bounds: ZenBounds;
  private readonly log: Logger;
  private readonly mastership: Mastership;
  private readonly published: PublishedState;
  private readonly contacts: MemberContacts;
  private readonly acceptedVersions = new Map<string, StateVersion>();

  constructor(options: StateSenderOptions) {
    this.localMember = options.localMember;
    this.transport = options.transport;
    this.bounds = options.bounds;
    this.log = options.log;
    this.mastership = options.mastership;
    this.published = options.published;
    this.contacts = options.contacts;
  }

  /**
   * Sends a state; resolves with whether the member has synced it. Never rejects. A member that has voted in a later
   * term ends the mastership.
   */
  async send(member: Member, publication: Publication): Promise<boolean> {
    try {
      if (!(await this.offer(member, publication))) return false;
      this.acceptedVersions.set(member.id, publication.version);
      return true;
    } catch (e) {
      const error = toRpcError(e);
      this.acceptedVersions.delete(member.id);
      if (error.code === 'stale-term')
        this.mastership.stepDown(`${member.addr} voted in a later term`);
      this.log.debug(`Publish to ${member.addr} failed: ${error.message}.`);
      return false;
    }
  }

  /** Tells a member that the state which it has accepted is committed; resolves once it has applied it. Never rejects. */
  async commit(member: Member, stateVersion: StateVersion): Promise<void> {
    const body = { from: this.localMember, to: member.id, stateVersion };
    try {
      await this.transport.call(member.addr, 'zen/commit', body, {
        timeoutMs: this.bounds.failureTimeout,
      });
      this.contacts.noteApplied(member.id, stateVersion);
    } catch {
      this.acceptedVersions.delete(member.id);
    }
  }

  /** Sends a committed state in full to a member that is behind, then the commit. */
  async catchUp(member: Member, state: State): Promise<void> {
    const publication = new Publication(state, undefined);
    if (await this.send(member, publication)) await this.commit(member, publication.version);
  }

  /** Whether the member is known to hold this version on its disk, or a newer one. */
  holds(memberId: string, version: StateVersion): boolean {
    return !isNewerVersion(version, versionOf(this.acceptedVersions.get(memberId)));
  }

  /** Forgets what the member holds, so that it is sent the full state next: it may have started anew. */
  forget(memberId: string): void {
    this.acceptedVersions.delete(memberId);
  }

  private async offer(member: Member, publication: Publication): Promise<boolean> {
    const { state, diff } = publication;
    const first =
      diff !== undefined && this.holdsBase(member.id)
        ? await this.publish(member, state, diff)
        : await this.publish(member, state, publication.full);
    const last =
      first === 'need-full' ? await this.publish(member, state, publication.full) : first;
    return last === 'accepted';
  }

  /** Whether a diff, which starts from the base, is of use to the member. */
  private holdsBase(memberId: string): boolean {
    const accepted = this.acceptedVersions.get(memberId);
    return accepted !== undefined && isSameVersion(accepted, versionOf(this.published.base));
  }

  private async publish(member: Member, state: State, packed: string): Promise<PublishOutcome> {
    const body = {
      from: this.localMember,
      term: this.mastership.term,
      clusterId: state.clusterId,
      to: member.id,
      packed,
    };
    const reply = await this.transport.call(member.addr, 'zen/publish', body, {
      timeoutMs: this.bounds.publishTimeout,
    });
    return PublishResponse.parse(reply).outcome;
  }
}
