/** Periodic tasks of a master, from its election until it steps down. */
import type { State } from '@tillerstair/state';
import { delay, type Clock } from '@tillerstair/wire';
import type { MasterView } from '@tillerstair/zen';

/**
 * Runs `work` on the newest committed state, pausing `intervalMs()` before each run, until the master steps down.
 * Rejects only if `work` does.
 */
export const repeatWhileMaster = async (
  clock: Clock,
  master: MasterView,
  intervalMs: () => number,
  work: (committed: State) => Promise<unknown>,
): Promise<void> => {
  const steppedDown = (): boolean => master.lost.aborted;
  while (!steppedDown()) {
    await delay(clock, intervalMs(), master.lost);
    const { committed } = master;
    if (steppedDown() || !committed) continue;
    await work(committed);
  }
};

/** Submits a change, ignoring a failure: the caller makes the change again at its next interval. */
export const submitOrRetryLater = async (
  master: MasterView,
  change: (state: State) => State,
): Promise<void> => {
  try {
    await master.submit(change);
  } catch {
    // The master lost its majority or stepped down; the next interval, or the next master, makes the change.
  }
};
