/**
 * Sends states and commits to individual members. It owns the version that each member is known to have on disk, which
 * decides between diff and full state. Invariant: a version is recorded only after the member has acknowledged it, and
 * removed when a later message to the member fails (docs/zen.md, "Kept, on the ordinary path").
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

/** A member's response to a published state. */
type PublishOutcome = 'accepted' | 'need-full';

/** The dependencies of a `StateSender`. */
export interface StateSenderOptions {
  readonly localMember: Member;
  readonly transport: Transport;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  readonly mastership: Mastership;
  readonly published: PublishedState;
  readonly contacts: MemberContacts;
}

/** Sends published and committed states to individual members. */
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
   * Sends a state; resolves with whether the member has synced it to its disk. Never rejects. A reply that the member
   * has voted in a later term ends the mastership.
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

  /** Sends the commit of an accepted state; resolves once the member has applied it or failed to. Never rejects. */
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

  /** Sends the full committed state to a member that is behind, then its commit. Never rejects. */
  async catchUp(member: Member, state: State): Promise<void> {
    const publication = new Publication(state, undefined);
    if (await this.send(member, publication)) await this.commit(member, publication.version);
  }

  /** Whether the member is known to have this version, or a newer one, on its disk. */
  holds(memberId: string, version: StateVersion): boolean {
    return !isNewerVersion(version, versionOf(this.acceptedVersions.get(memberId)));
  }

  /** Discards the recorded version of a member that may have restarted, so that it is sent the full state next. */
  forget(memberId: string): void {
    this.acceptedVersions.delete(memberId);
  }

  private async offer(member: Member, publication: Publication): Promise<boolean> {
    const { state, diff } = publication;
    const firstOutcome =
      diff !== undefined && this.holdsBase(member.id)
        ? await this.publish(member, state, diff)
        : await this.publish(member, state, publication.full);
    const outcome =
      firstOutcome === 'need-full'
        ? await this.publish(member, state, publication.full)
        : firstOutcome;
    return outcome === 'accepted';
  }

  /** Whether the member is known to have the base on disk, so that it can apply a diff from it. */
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
