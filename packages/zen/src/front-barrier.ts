/**
 * Determines when a committed state is in force: when no front serves from an older state any more. Each front has
 * either reported that it applied the state, or its read lease has expired since the commit. Fronts unknown to this
 * master may have a lease renewed under the previous master, and fronts that left the list of nodes one renewed before
 * they left. Invariant: the lease of a front that has not applied a state is never renewed after the commit of that
 * state, so the wait is at most one read lease from the commit, however many fronts leave in that time (docs/design.md,
 * "Freshness and the read lease"; docs/control-safety.md).
 */
import { isNewerVersion, versionOf, type State, type StateVersion } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import { UnknownOutcomeError } from './master-errors.js';
import type { CommittedState } from './master-types.js';
import type { Mastership } from './mastership.js';
import type { MemberContacts } from './member-contacts.js';

/** How long departures of fronts are kept, in read leases; the barrier needs one. */
const departureRetentionLeases = 2;

/** A front that left the list of nodes. */
interface Departure {
  /** Clock time, in ms, of the commit that removed the front. */
  readonly at: number;
  /** The newest state that the front had reported as applied. */
  readonly applied: StateVersion;
}

/** Lets callers wait until every front has applied a committed state or its read lease has expired. */
export class FrontBarrier {
  private readonly departures = new Map<string, Departure>();
  /** Ids of fronts that have released their read lease; an id is never reused. */
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

  /** Records the fronts that a commit removed from the list of nodes, unless they have released their lease. */
  noteDeparted(previous: State, committed: State): void {
    const now = this.clock.now();
    for (const [id, member] of previous.nodes)
      if (member.kind === 'front' && !committed.nodes.has(id)) this.noteDeparture(id, now);
    for (const [id, { at }] of this.departures)
      if (now - at > this.bounds.readLease * departureRetentionLeases) this.departures.delete(id);
  }

  /** Records that a leaving front has stopped serving, so that the barrier no longer waits for its lease. */
  noteLeaseReleased(frontId: string): void {
    this.leasesReleased.add(frontId);
    this.wakeAll();
  }

  private noteDeparture(id: string, at: number): void {
    if (this.leasesReleased.delete(id)) return;
    this.departures.set(id, { at, applied: this.contacts.appliedBy(id) });
  }

  /** Makes all waiting callers check the barrier again. */
  wakeAll(): void {
    for (const wake of [...this.waiters]) wake();
  }

  /**
   * Resolves once no front serves from a state older than the committed one: at most one read lease after the commit or
   * the election, whichever is later.
   *
   * @throws UnknownOutcomeError if this control steps down before that.
   */
  async waitUntilPassed(committed: CommittedState): Promise<void> {
    for (;;) {
      if (this.mastership.lost.aborted)
        throw new UnknownOutcomeError('this control stepped down before the state was in force');
      const remaining = this.passesAt(committed) - this.clock.now();
      if (remaining <= 0) return;
      await this.waitUntilWoken(remaining + 1);
    }
  }

  /** Clock time, in ms, at which the barrier passes if no front reports before that. */
  private passesAt({ state, at }: CommittedState): number {
    const renewals = [
      this.electedAt,
      ...this.lastRenewalsOfDeparted(state, at),
      ...(this.isAppliedByFronts(state) ? [] : [at]),
    ];
    return Math.max(...renewals) + this.bounds.readLease;
  }

  /** Latest possible renewal times, in ms, of the leases of departed fronts that have not applied the state. */
  private lastRenewalsOfDeparted(state: State, committedAt: number): readonly number[] {
    const version = versionOf(state);
    return [...this.departures.values()]
      .filter(({ applied }) => isNewerVersion(version, applied))
      .map(({ at }) => Math.min(at, committedAt));
  }

  /** Whether each listed front has applied the state or released its lease. */
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

  private waitUntilWoken(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        timer.stop();
        this.waiters.delete(wake);
        resolve();
      };
      const timer = this.clock.after(timeoutMs, wake);
      this.waiters.add(wake);
    });
  }
}
