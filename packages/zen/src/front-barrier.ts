/**
 * The moment from which no front serves from an older state any more. A front either reports that it has applied the
 * state, or its read lease has run out since the commit; fronts that the master does not know of, or not any more, hold
 * a lease of the earlier master or of the time before they left the list (docs/design.md, "Freshness and the read lease").
 */
import { isNewerVersion, versionOf, type State, type StateVersion } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { UnknownOutcomeError } from './master-errors.js';
import type { CommittedState } from './master-types.js';
import type { Mastership } from './mastership.js';
import type { MemberContacts } from './member-contacts.js';

/** Departures are forgotten after this many read leases; one is what the barrier needs. */
const leasesBeforeForgotten = 2;

/** Lets callers wait until every front has applied a committed state or has lost its lease. */
export class FrontBarrier {
  private readonly departedAt = new Map<string, number>();
  private readonly waiting = new Set<() => void>();
  private readonly electedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly bounds: Pick<ZenBounds, 'readLease'>,
    private readonly mastership: Mastership,
    private readonly contacts: MemberContacts,
  ) {
    this.electedAt = clock.now();
  }

  /** Remembers the fronts that a commit took off the list of nodes. */
  noteDeparted(previous: State, committed: State): void {
    const now = this.clock.now();
    for (const [id, member] of previous.nodes)
      if (member.kind === 'front' && !committed.nodes.has(id)) this.departedAt.set(id, now);
    for (const [id, at] of this.departedAt)
      if (now - at > this.bounds.readLease * leasesBeforeForgotten) this.departedAt.delete(id);
  }

  /** Lets everybody who waits look again. */
  wakeAll(): void {
    for (const wake of [...this.waiting]) wake();
  }

  /**
   * Resolves once no front serves from a state older than the committed one, at most one read lease after the commit,
   * the election or the last departure of a front.
   *
   * @throws UnknownOutcomeError when this control steps down meanwhile.
   */
  async passed(committed: CommittedState): Promise<void> {
    for (;;) {
      if (this.mastership.lost.aborted)
        throw new UnknownOutcomeError('this control stopped being master meanwhile');
      const remaining = this.passesAt(committed) - this.clock.now();
      if (remaining <= 0) return;
      await this.waitOrWake(remaining + 1);
    }
  }

  /** Clock time, in ms, at which the barrier passes if no front reports meanwhile. */
  private passesAt({ state, at }: CommittedState): number {
    const { readLease } = this.bounds;
    const unknownFronts = Math.max(this.electedAt, ...this.departedAt.values()) + readLease;
    return this.isAppliedByFronts(state) ? unknownFronts : Math.max(unknownFronts, at + readLease);
  }

  private isAppliedByFronts(state: State): boolean {
    const version = versionOf(state);
    return [...state.nodes.values()].every(
      (member) => member.kind !== 'front' || this.hasApplied(member.id, version),
    );
  }

  private hasApplied(memberId: string, version: StateVersion): boolean {
    return !isNewerVersion(version, this.contacts.appliedBy(memberId));
  }

  private waitOrWake(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.stop();
        this.waiting.delete(wake);
        resolve();
      };
      const timer = this.clock.after(ms, wake);
      this.waiting.add(wake);
    });
  }
}
