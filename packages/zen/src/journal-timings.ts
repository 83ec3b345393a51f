/**
 * Journal timeouts of each kind of node (docs/design.md, "Disk"). Getters read the bounds at each use, so that the
 * values follow bounds that are reloaded while the process runs.
 */
import type { JournalTimings } from '@tillerstair/journal';
import type { Clock, Logger } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';

/** Journal timings of controls: a sync that takes longer than a publish waits cannot count towards its majority. */
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

/** Journal timings of stores: a slow sync still completes a replica, though writes to the slot do not wait for it. */
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
