/**
 * Publishes states: sends each to all members and commits it once a majority of the voters has it on disk. Invariants:
 * no commit is sent, and no state counts as committed, before that majority has accepted it; nothing is published after
 * this control has voted in a later term (docs/zen.md, "State that survives").
 */
import type { Member, State } from '@tillerstair/state';
import { delay, toRpcError, type Clock, type Logger } from '@tillerstair/wire';
import { AcceptanceRound } from './acceptance-round.js';
import type { ZenBounds } from './bounds.js';
import type { ElectionStore } from './election-store.js';
import { NotMasterError, PublishTimeoutError, StaleMasterError } from './master-errors.js';
import type { Mastership } from './mastership.js';
import { Publication } from './publication.js';
import { peersOf, type PublishedState } from './published-state.js';
import type { StateSender } from './state-sender.js';

/** Number of times per heartbeat that a state is sent again to a voter that has not accepted it. */
const retriesPerHeartbeat = 20;

/** The dependencies of a `Publisher`. */
export interface PublisherOptions {
  readonly localMember: Member;
  readonly clock: Clock;
  readonly bounds: ZenBounds;
  readonly log: Logger;
  readonly electionStore: ElectionStore;
  readonly mastership: Mastership;
  readonly published: PublishedState;
  readonly sender: StateSender;
}

/** Replicates one state at a time to a majority of the voters. */
export class Publisher {
  private readonly localMember: Member;
  private readonly clock: Clock;
  private readonly bounds: ZenBounds;
  private readonly log: Logger;
  private readonly electionStore: ElectionStore;
  private readonly mastership: Mastership;
  private readonly published: PublishedState;
  private readonly sender: StateSender;

  constructor(options: PublisherOptions) {
    this.localMember = options.localMember;
    this.clock = options.clock;
    this.bounds = options.bounds;
    this.log = options.log;
    this.electionStore = options.electionStore;
    this.mastership = options.mastership;
    this.published = options.published;
    this.sender = options.sender;
  }

  /**
   * Publishes a state with this master's term and the next version; resolves once it is committed.
   *
   * @throws StaleMasterError, PublishTimeoutError or NotMasterError; after any of them the caller has to step down,
   * since some members may have accepted a state that was not committed.
   */
  async publish(content: State): Promise<State> {
    const { base } = this.published;
    const state = {
      ...content,
      term: this.mastership.term,
      version: base.version + 1,
      master: this.localMember.id,
    };
    const publication = new Publication(state, base);
    this.refuseAfterLaterVote();
    const round = new AcceptanceRound([state.voters, base.voters]);
    await this.replicate(publication, round);
    this.published.commit(state, this.clock.now());
    for (const member of round.acceptors)
      if (member.id !== this.localMember.id) void this.sender.commit(member, publication.version);
    return state;
  }

  private refuseAfterLaterVote(): void {
    const { term } = this.electionStore.persisted;
    if (term !== this.mastership.term) throw new StaleMasterError(term);
  }

  private async replicate(publication: Publication, round: AcceptanceRound): Promise<void> {
    const timer = this.clock.after(this.bounds.publishTimeout, () => {
      round.fail(new PublishTimeoutError());
    });
    const onLost = (): void => {
      round.fail(new NotMasterError('this control stepped down during the publish', 'unknown'));
    };
    this.mastership.lost.addEventListener('abort', onLost, { once: true });
    try {
      this.offerToAll(publication, round);
      await round.majority;
    } finally {
      timer.stop();
      this.mastership.lost.removeEventListener('abort', onLost);
    }
  }

  private offerToAll(publication: Publication, round: AcceptanceRound): void {
    const { state } = publication;
    this.electionStore.accept(state).then(
      () => round.accept(this.localMember),
      (e: unknown) => this.log.warn(`Not synced here: ${toRpcError(e).message}.`),
    );
    for (const member of peersOf(state, this.localMember.id))
      void this.offer(member, publication, round);
  }

  private async offer(
    member: Member,
    publication: Publication,
    round: AcceptanceRound,
  ): Promise<void> {
    if (!(await this.sendUntilAccepted(member, publication))) return;
    if (this.published.isCommitted(publication.version))
      void this.sender.commit(member, publication.version);
    round.accept(member);
  }

  /**
   * Sends the state to a voter until it accepts or the state is committed, and to any other node only once; fault
   * detection sends it later to the nodes that missed it. Without a majority the mastership, and this loop, end after
   * `publishTimeout`. Resolves with whether the member accepted the state.
   */
  private async sendUntilAccepted(member: Member, publication: Publication): Promise<boolean> {
    const isVoter = publication.state.votingMembers.has(member.id);
    while (!this.mastership.lost.aborted) {
      if (await this.sender.send(member, publication)) return true;
      if (!isVoter || this.published.isCommitted(publication.version)) return false;
      await delay(
        this.clock,
        this.bounds.heartbeatInterval / retriesPerHeartbeat,
        this.mastership.lost,
      );
    }
    return false;
  }
}
