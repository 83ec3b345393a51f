/**
 * The master's check of itself: it steps down when its disk accepts no writes or no majority of the voters replies
 * (docs/zen.md, "Kept, on the ordinary path": a master that no longer sees enough eligible nodes rejoins). It owns no
 * state.
 */
import { delay, type Clock } from '@tillerstair/wire';
import type { ZenBounds } from './bounds.js';
import type { ElectionStore } from './election-store.js';
import type { Mastership } from './mastership.js';
import type { MemberContacts } from './member-contacts.js';
import type { PublishedState } from './published-state.js';

/** Number of checks per heartbeat interval. */
const checksPerHeartbeat = 4;

/** The dependencies of `checkMastership`. */
export interface MastershipCheckOptions {
  readonly clock: Clock;
  readonly bounds: ZenBounds;
  readonly electionStore: ElectionStore;
  readonly mastership: Mastership;
  readonly published: PublishedState;
  readonly contacts: MemberContacts;
}

/** Checks the disk and the replies of the voters periodically; resolves when the mastership ends for any reason. */
export const checkMastership = async (options: MastershipCheckOptions): Promise<void> => {
  const { clock, bounds, electionStore, mastership, published, contacts } = options;
  while (!mastership.lost.aborted) {
    if (!electionStore.writable) mastership.stepDown('the local disk accepts no writes');
    if (contacts.majorityAge(published.base.voters) > bounds.failureTimeout)
      mastership.stepDown(`no majority of the voters replied within ${bounds.failureTimeout} ms`);
    await delay(clock, bounds.heartbeatInterval / checksPerHeartbeat, mastership.lost);
  }
};
