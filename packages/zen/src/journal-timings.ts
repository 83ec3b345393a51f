/**
 * How long writes to disk may last on each kind of member (docs/design.md, "Disk"). The values follow bounds that are
 * replaced while the process runs.
 */
import type { JournalTimings } from '@tillerstair/journal';
import type { Clock, Logger } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';

/** For controls: a sync that lasts longer than a publish waits is of no use to any majority. */
export const controlJournalTimings = (
  clock: Clock,
  bounds: ZenBounds,
  log: Logger,
): JournalTimings => ({
  clock,
  log,
  get syncTimeoutMs() {
    return bounds.syncTimeout;
  },
  get retryIntervalMs() {
    return bounds.diskRetryInterval;
  },
});

/** For stores: a slow sync still makes a replica complete, though the slot's writes do not wait for it. */
export const storeJournalTimings = (
  clock: Clock,
  bounds: ZenBounds,
  log: Logger,
): JournalTimings => ({
  clock,
  log,
  get syncTimeoutMs() {
    return bounds.failureTimeout;
  },
  get retryIntervalMs() {
    return bounds.diskRetryInterval;
  },
});
