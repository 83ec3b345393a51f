/**
 * The elected master, from the votes of a majority to its step-down (docs/zen.md, "One master a term"). This module
 * connects the components of the master and handles the messages of other nodes. Each component owns its data: the
 * published states in `published-state.ts`, the pending changes in `change-queue.ts`, the versions that members have
 * accepted in `state-sender.ts`, and the times of their replies in `member-contacts.ts`.
 */
import { reduceState, versionOf, type Member, type State } from '@tillerstair/state';
import type { Clock, Logger, Transport } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { ChangeQueue } from './change-queue.js';
import type { ElectionStore } from './election-store.js';
import { FrontBarrier } from './front-barrier.js';
import { NotMasterError } from './master-errors.js';
import type {
  Change,
  CommittedState,
  MasterOptions,
  MasterStatus,
  MasterView,
} from './master-types.js';
import { checkMastership } from './mastership-check.js';
import { Mastership } from './mastership.js';
import { MemberContacts } from './member-contacts.js';
import { ValidateResponse, type Join, type JoinResponse, type MasterPing } from './messages.js';
import { NodesFaultDetector } from './nodes-fault-detector.js';
import { PublishedState } from './published-state.js';
import { Publisher } from './publisher.js';
import { QuorumRead } from './quorum-read.js';
import { pingPeers } from './ping-peers.js';
import { StateSender } from './state-sender.js';

/** The master of one term. */
export class Master implements MasterView {
  private readonly localMember: Member;
  private readonly clock: Clock;
  private readonly transport: Transport;
  private readonly electionStore: ElectionStore;
  private readonly bounds: ZenBounds;
  private readonly log: Logger;
  private readonly apply: (state: State) => Promise<void>;
  private readonly onReport: (memberId: string, report: unknown) => void;
  private readonly mastership: Mastership;
  private readonly published: PublishedState;
  private readonly contacts: MemberContacts;
  private readonly sender: StateSender;
  private readonly publisher: Publisher;
  private readonly quorumRead: QuorumRead;
  private readonly changes: ChangeQueue;
  private readonly fronts: FrontBarrier;
  private readonly faultDetector: NodesFaultDetector;
  private pingsFromAnotherMaster = 0;

  /**
   * @param term - The term that a majority of the voters granted to this control.
   * @param newest - The newest accepted state that came with those votes.
   */
  constructor(options: MasterOptions, term: number, newest: State) {
    this.localMember = options.localMember;
    this.clock = options.clock;
    this.transport = options.transport;
    this.electionStore = options.electionStore;
    this.bounds = options.bounds;
    this.log = options.log;
    this.apply = options.apply;
    this.onReport = options.onReport;
    this.mastership = new Mastership(term, options.log);
    this.published = new PublishedState(newest);
    this.contacts = new MemberContacts(this.localMember.id, this.clock);
    const shared = {
      ...options,
      mastership: this.mastership,
      published: this.published,
      contacts: this.contacts,
    };
    this.sender = new StateSender(shared);
    this.publisher = new Publisher({ ...shared, sender: this.sender });
    this.quorumRead = this.createQuorumRead();
    this.changes = new ChangeQueue({
      ...shared,
      publish: (state) => this.publish(state),
      confirm: () => this.confirm(),
    });
    this.fronts = new FrontBarrier(this.clock, this.bounds, this.mastership, this.contacts);
    this.faultDetector = new NodesFaultDetector({
      ...shared,
      sender: this.sender,
      removeMember: (id) => this.removeMember(id),
    });
    this.published.onCommit((previous, committed) => {
      this.fronts.noteDeparted(previous, committed);
    });
    this.contacts.onApplied(() => this.fronts.wakeAll());
    this.mastership.onEnd(() => {
      this.changes.close();
      this.fronts.wakeAll();
    });
  }

  get term(): number {
    return this.mastership.term;
  }

  get lost(): AbortSignal {
    return this.mastership.lost;
  }

  get committed(): State | undefined {
    return this.published.committed;
  }

  get committedAt(): number {
    return this.published.committedAt;
  }

  /** Ends this mastership; does nothing if it has already ended. */
  stepDown(reason: string): void {
    this.mastership.stepDown(reason);
  }

  /**
   * Publishes the newest accepted state in this term, with this control and the joiners on the list of nodes; whatever
   * an earlier master committed stays in force. Resolves once this state is committed.
   *
   * @param joiners - The nodes that voted for this control.
   * @param askedAt - Clock time, in ms, at which the votes were requested.
   */
  async begin(joiners: readonly Member[], askedAt: number): Promise<void> {
    for (const { id } of joiners) this.contacts.reset(id, askedAt);
    await this.submit((state) =>
      [this.localMember, ...joiners].reduce(
        (joined, member) => reduceState(joined, { kind: 'join', member }),
        state,
      ),
    );
    void checkMastership({
      clock: this.clock,
      bounds: this.bounds,
      electionStore: this.electionStore,
      mastership: this.mastership,
      published: this.published,
      contacts: this.contacts,
    });
  }

  submit(change: Change): Promise<CommittedState> {
    return this.changes.submit(change);
  }

  submitConfirmed(change: Change): Promise<CommittedState> {
    return this.changes.submitConfirmed(change);
  }

  confirm(): Promise<State> {
    return this.quorumRead.confirm();
  }

  waitUntilInForce(committed: CommittedState): Promise<void> {
    return this.fronts.waitUntilPassed(committed);
  }

  unresponsiveFor(memberId: string): number {
    return this.contacts.unresponsiveFor(memberId);
  }

  isResponsive(memberId: string): boolean {
    return this.contacts.isResponsive(memberId, this.bounds.heartbeatInterval);
  }

  pingPeers(peers: readonly Member[]): Promise<ReadonlySet<string>> {
    const { clusterId } = this.published.base;
    return pingPeers(
      { transport: this.transport, bounds: this.bounds },
      { from: this.localMember, term: this.term, clusterId },
      peers,
    );
  }

  holdsCommitted(memberId: string): boolean {
    return (
      memberId === this.localMember.id || this.sender.holds(memberId, versionOf(this.committed))
    );
  }

  /** Pings the member at this address without delay because a connection to it was lost. */
  onConnectionLost(address: string): void {
    this.faultDetector.onConnectionLost(address);
  }

  /**
   * Adds a node to the cluster: once the node has validated its join, it is listed and sent the full state.
   *
   * @throws NotMasterError if the node has voted in a later term, which ends this mastership; the node's error if it
   * refuses the validation.
   */
  async onJoin(join: Join): Promise<JoinResponse> {
    const member = join.from;
    if (join.term > this.term) {
      this.stepDown(`${member.addr} joins with term ${join.term}`);
      throw new NotMasterError();
    }
    const askedAt = this.clock.now();
    await this.validate(member);
    this.contacts.reset(member.id, askedAt);
    this.sender.forget(member.id);
    const { state } = await this.submit((current) =>
      reduceState(current, { kind: 'join', member }),
    );
    await this.sender.catchUp(member, state);
    this.log.info(`Member ${member.kind} ${member.addr} joined.`);
    return { term: this.term };
  }

  /** Answers a follower's ping; the report in it is used only if the follower is on the list of nodes. */
  onMasterPing(ping: MasterPing): MasterStatus {
    const { id } = ping.from;
    const listed = this.committed?.nodes.has(id) ?? false;
    const leading = !this.lost.aborted;
    if (listed && leading) {
      this.contacts.noteApplied(id, ping.applied);
      this.onReport(id, ping.report);
    }
    return {
      leading,
      listed,
      term: this.term,
      committed: versionOf(this.committed),
      age: this.contacts.majorityAge(this.published.base.voters),
    };
  }

  /** Counts pings of another master in a later term; `pingsFromAnotherMaster` of them end this mastership. */
  onPingFromAnotherMaster(term: number, address: string): void {
    if (term <= this.term) return;
    this.pingsFromAnotherMaster++;
    if (this.pingsFromAnotherMaster >= this.bounds.pingsFromAnotherMaster)
      this.stepDown(`${address} is master in term ${term}`);
  }

  /** Records that a leaving front has released its read lease. */
  noteLeaseReleased(frontId: string): void {
    this.fronts.noteLeaseReleased(frontId);
  }

  private createQuorumRead(): QuorumRead {
    return new QuorumRead({
      localMember: this.localMember,
      clock: this.clock,
      transport: this.transport,
      bounds: this.bounds,
      term: this.term,
      lost: this.lost,
      committed: () => this.committed,
      hasVotedInLaterTerm: () => this.electionStore.persisted.term !== this.term,
      onLaterTerm: (term, address) => this.stepDown(`${address} is in term ${term}`),
    });
  }

  private async publish(content: State): Promise<void> {
    const state = await this.publisher.publish(content);
    await this.apply(state);
    this.faultDetector.watchMembers();
  }

  private async validate(member: Member): Promise<void> {
    const { base } = this.published;
    const body = {
      from: this.localMember,
      term: this.term,
      clusterId: base.clusterId,
      have: versionOf(base),
      to: member.id,
    };
    ValidateResponse.parse(
      await this.transport.call(member.addr, 'zen/validate', body, {
        timeoutMs: this.bounds.joinTimeout,
      }),
    );
  }

  private removeMember(id: string): void {
    this.submit((state) => reduceState(state, { kind: 'leave', id })).catch(() => undefined);
  }
}
