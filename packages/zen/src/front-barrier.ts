/**
 * The moment from which no front serves from an older state any more. A front either reports that it has applied the
 * state, or its read lease has run out since the commit; fronts that the master does not know of hold a lease of the
 * earlier master, and those that left the list one of the time before they left. Invariant: no lease of a front that has
 * not applied a state is renewed after the commit of that state, so nobody waits for longer than one read lease from it
 * on, however many fronts leave meanwhile (docs/design.md, "Freshness and the read lease"; docs/control-safety.md).
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

/** A front that left the list: when, and what it had applied. */
interface Departure {
  /** Clock time of the commit, in ms. */
  readonly at: number;
  readonly applied: StateVersion;
}

/** Lets callers wait until every front has applied a committed state or has lost its lease. */
export class FrontBarrier {
  private readonly departures = new Map<string, Departure>();
  /** Fronts that said that they serve no more; an id is never used again. */
  private readonly leasesReleased = new Set<string>();
  private readonly waiters = new Set<() => void>();
  private readonly electedAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly bounds: Pick<ZenBounds, 'readLease'>,
    private readonly mastership: Mastership,
    private readonly contacts: MemberContacts,
  ) {
    this.electedAt = clock.now();
  }

  /** Remembers the fronts that a commit took off the list of nodes, unless their lease was released. */
  noteDeparted(previous: State, committed: State): void {
    const now = this.clock.now();
    for (const [id, member] of previous.nodes)
      if (member.kind === 'front' && !committed.nodes.has(id)) this.noteDeparture(id, now);
    for (const [id, { at }] of this.departures)
      if (now - at > this.bounds.readLease * leasesBeforeForgotten) this.departures.delete(id);
  }

  /** A front that is about to leave serves no more, whatever its lease was: nobody waits for it. */
  noteLeaseReleased(frontId: string): void {
    this.leasesReleased.add(frontId);
    this.wakeAll();
  }

  private noteDeparture(id: string, at: number): void {
    if (this.leasesReleased.delete(id)) return;
    this.departures.set(id, { at, applied: this.contacts.appliedBy(id) });
  }

  /** Lets everybody who waits look again. */
  wakeAll(): void {
    for (const wake of [...this.waiters]) wake();
  }

  /**
   * Resolves once no front serves from a state older than the committed one, at most one read lease after the commit or
   * the election.
   *
   * @throws UnknownOutcomeError when this control steps down meanwhile.
   */
  async waitUntilPassed(committed: CommittedState): Promise<void> {
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
    const renewals = [
      this.electedAt,
      ...this.lastRenewalsOfDeparted(state, at),
      ...(this.isAppliedByFronts(state) ? [] : [at]),
    ];
    return Math.max(...renewals) + this.bounds.readLease;
  }

  /** The latest moments, in ms, at which leases of departed fronts that have not applied a state were renewed. */
  private lastRenewalsOfDeparted(state: State, committedAt: number): readonly number[] {
    const version = versionOf(state);
    return [...this.departures.values()]
      .filter(({ applied }) => isNewerVersion(version, applied))
      .map(({ at }) => Math.min(at, committedAt));
  }

  private isAppliedByFronts(state: State): boolean {
    const version = versionOf(state);
    return [...state.nodes.values()].every(
      ({ id, kind }) =>
        kind !== 'front' || this.leasesReleased.has(id) || this.hasApplied(id, version),
    );
  }

  private hasApplied(memberId: string, version: StateVersion): boolean {
    return !isNewerVersion(version, this.contacts.appliedBy(memberId));
  }

  private waitOrWake(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.stop();
        this.waiters.delete(wake);
        resolve();
      };
      const timer = this.clock.after(ms, wake);
      this.waiters.add(wake);
    });
  }
}
