/**
 * How long writes to disk may last on each kind of member (docs/design.md, "Disk"). The values follow bounds that are
 * replaced while the process runs.
 */
import type { JournalPace } from '@tillerstair/journal';
import type { Clock, Logger } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';

/** For controls: a sync that lasts longer than a publish waits is of no use to any majority. */
export const controlPace = (clock: Clock, bounds: ZenBounds, log: Logger): JournalPace => ({
  clock,
  log,
  get syncWithin() {
    return bounds.syncTimeout;
  },
  get retryEvery() {
    return bounds.diskRetryInterval;
  },
});

/** For stores: a slow sync still makes a replica complete, though the slot's writes do not wait for it. */
export const storePace = (clock: Clock, bounds: ZenBounds, log: Logger): JournalPace => ({
  clock,
  log,
  get syncWithin() {
    return bounds.failureTimeout;
  },
  get retryEvery() {
    return bounds.diskRetryInterval;
  },
});
