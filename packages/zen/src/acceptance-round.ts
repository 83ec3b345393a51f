/**
 * Counts the members that have accepted one published state. A state is committed once a majority of each group of its
 * voting configuration and of the previous one has accepted it, so that any two majorities overlap when the voters
 * change (docs/zen.md, "Changed or added": the number of controls).
 */
import { hasQuorum, type Member, type VotingConfiguration } from '@tillerstair/state';

/** Collects the acceptances of one published state; ends once, with a majority or with an error. */
export class AcceptanceRound {
  /** Resolves once a majority of each configuration has accepted the state; rejects with the error given to `fail`. */
  readonly majority: Promise<void>;
  private readonly acceptedBy = new Map<string, Member>();
  private resolveMajority: () => void = () => undefined;
  private rejectMajority: (reason: Error) => void = () => undefined;

  /** @param configurations - The voting configurations; a majority of each has to accept the state. */
  constructor(private readonly configurations: readonly VotingConfiguration[]) {
    this.majority = new Promise((resolve, reject) => {
      this.resolveMajority = resolve;
      this.rejectMajority = reject;
    });
  }

  /** The members that have accepted so far, in the order of their replies. */
  get acceptors(): readonly Member[] {
    return [...this.acceptedBy.values()];
  }

  /** Counts the acceptance of a member that has synced the state to its disk. */
  accept(member: Member): void {
    this.acceptedBy.set(member.id, member);
    const ids = new Set(this.acceptedBy.keys());
    if (this.configurations.every((voters) => hasQuorum(voters, ids))) this.resolveMajority();
  }

  /** Ends the round without a majority; does nothing once a majority has accepted. */
  fail(reason: Error): void {
    this.rejectMajority(reason);
  }
}
