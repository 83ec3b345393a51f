/** A node's identity, and its election state as read from the election store and reported to other nodes. */
import {
  versionOf,
  type Member,
  type State,
  type StateVersion,
  type VotingConfiguration,
} from '@tillerstair/state';
import type { ElectionStore } from './election-store.js';
import type { PingResponse } from './messages.js';

/** The local node as an input of `elect`. */
export interface LocalCandidate {
  readonly member: Member;
  /** Whether the node is a voter, has an accepted state and can sync a vote. */
  readonly canWin: boolean;
  /** Whether the node can sync a vote; if false, it does not count towards a majority. Defaults to true. */
  readonly writable?: boolean;
  /** Whether the node has accepted a state beyond the bootstrap state, and so followed or been a master before. */
  readonly joinedBefore: boolean;
  readonly accepted: StateVersion;
  readonly voters: VotingConfiguration | undefined;
}

/** Identity of this node, and its election store. */
export class LocalNode {
  constructor(
    readonly member: Member,
    readonly electionStore: ElectionStore,
  ) {}

  /** Term of this node's newest vote. */
  get term(): number {
    return this.electionStore.persisted.term;
  }

  /** Newest state that this node has accepted, committed or not. */
  get accepted(): State | undefined {
    return this.electionStore.persisted.accepted;
  }

  /** Id of the cluster that this node belongs to; empty before it has accepted a state. */
  get clusterId(): string {
    return this.accepted?.clusterId ?? '';
  }

  /** Whether the node is a control whose disk accepts writes. */
  get isEligible(): boolean {
    return this.member.kind === 'control' && this.electionStore.writable;
  }

  /** Only a voting control with an accepted state, whose disk accepts writes, can win (docs/zen.md, "Who can win"). */
  private get canWin(): boolean {
    const voters = this.accepted?.voters;
    if (!this.electionStore.writable || !voters) return false;
    const { id } = this.member;
    return voters.current.includes(id) || voters.next.includes(id);
  }

  /** This node as an input of its own choice of a master. */
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

  /** Builds the response to a ping, with the current master and the controls that this node knows of. */
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
