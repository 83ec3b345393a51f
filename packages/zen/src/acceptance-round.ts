/**
 * Counts who has accepted one published state. A state is committed by a majority of each group of the voting
 * configuration that it carries and of the one before it, so that any two majorities meet across a change of the
 * voters (docs/zen.md, "Changed or added": the number of controls).
 */
import { hasQuorum, type Member, type VotingConfiguration } from '@tillerstair/state';

/** The acceptances of one published state; ends once, with a majority or with an error. */
export class AcceptanceRound {
  /** Resolves once a majority of each configuration has accepted the state; rejects with the error given to `fail`. */
  readonly majority: Promise<void>;
  private readonly acceptedBy = new Map<string, Member>();
  private resolveMajority: () => void = () => undefined;
  private rejectMajority: (reason: Error) => void = () => undefined;

  /** @param configurations - The voting configurations each of which has to accept. */
  constructor(private readonly configurations: readonly VotingConfiguration[]) {
    this.majority = new Promise((resolve, reject) => {
      this.resolveMajority = resolve;
      this.rejectMajority = reject;
    });
  }

  /** The members that have accepted so far, in the order of their answers. */
  get acceptors(): readonly Member[] {
    return [...this.acceptedBy.values()];
  }

  /** Counts a member that has synced the state. */
  accept(member: Member): void {
    this.acceptedBy.set(member.id, member);
    const ids = new Set(this.acceptedBy.keys());
    if (this.configurations.every((voters) => hasQuorum(voters, ids))) this.resolveMajority();
  }

  /** Ends the round without a majority. */
  fail(reason: Error): void {
    this.rejectMajority(reason);
  }
}
