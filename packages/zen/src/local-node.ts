/** What a node knows of itself, and says of itself to others; all of it stands in its election store. */
import {
  versionOf,
  type Member,
  type State,
  type StateVersion,
  type VotingConfiguration,
} from '@tillerstair/state';
import type { ElectionStore } from './election-store.js';
import type { PingResponse } from './messages.js';

/** What a node contributes to its own choice of a master. */
export interface LocalCandidate {
  readonly member: Member;
  /** Whether it is a voter that holds a state and can sync a vote. */
  readonly canWin: boolean;
  /** Whether it can sync a vote; without that it counts for no majority. */
  readonly writable?: boolean;
  /** Whether it has followed or led a master before. */
  readonly joinedBefore: boolean;
  readonly accepted: StateVersion;
  readonly voters: VotingConfiguration | undefined;
}

/** The identity of this node with the votes and the state that it holds on disk. */
export class LocalNode {
  constructor(
    readonly member: Member,
    readonly electionStore: ElectionStore,
  ) {}

  /** The term in which this node voted last. */
  get term(): number {
    return this.electionStore.persisted.term;
  }

  /** The newest state that this node has accepted, committed or not. */
  get accepted(): State | undefined {
    return this.electionStore.persisted.accepted;
  }

  /** The cluster that this node belongs to; empty before it accepted a first state. */
  get clusterId(): string {
    return this.accepted?.clusterId ?? '';
  }

  /** Whether the node is a control, and the disk takes its votes. */
  get isEligible(): boolean {
    return this.member.kind === 'control' && this.electionStore.writable;
  }

  /** Only a voting control that holds an accepted state can win (docs/zen.md, "Who can win"). */
  private get canWin(): boolean {
    const voters = this.accepted?.voters;
    if (!this.electionStore.writable || !voters) return false;
    const { id } = this.member;
    return voters.current.includes(id) || voters.next.includes(id);
  }

  /** This node as its own election sees it. */
  asCandidate(): LocalCandidate {
    const { accepted } = this;
    return {
      member: this.member,
      writable: this.electionStore.writable,
      canWin: this.canWin,
      joinedBefore: accepted !== undefined && accepted.version > 1,
      accepted: versionOf(accepted),
      voters: accepted?.voters,
    };
  }

  /** The response to a ping, with the master and the controls that this node knows of. */
  pingResponse(master: Member | undefined, known: Member[]): PingResponse {
    const { canWin, joinedBefore, accepted, voters } = this.asCandidate();
    return {
      from: this.member,
      eligible: this.isEligible,
      canWin,
      master,
      term: this.term,
      clusterId: this.clusterId,
      joinedBefore,
      accepted,
      voters,
      known,
    };
  }
}
