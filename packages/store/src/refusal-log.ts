/** Logs how many requests a store refused because its memory for items is in use. */
import type { Logger } from '@tillerstair/wire';
import type { ReplicaStore } from './replica-store.js';

const mb = 1 << 20;

/** Logs the refusals since the last call, at most one line for a call. */
export class RefusalLog {
  private reported = 0;

  constructor(
    private readonly replicaStore: ReplicaStore,
    private readonly log: Logger,
  ) {}

  report(): void {
    const counts = this.replicaStore.counts();
    const refused = counts.refusedWrites + counts.refusedHints;
    if (refused === this.reported) return;
    this.log.warn(
      `Refused ${refused - this.reported} writes and hints, the memory for items is in use: ` +
        `${Math.round(counts.itemBytes / mb)} MB, ${Math.round(counts.hintBytes / mb)} MB of it ${counts.hints} hints.`,
    );
    this.reported = refused;
  }
}
