/**
 * The master's poll of the list of servers: each reading that differs is committed, and its age is what fronts are told
 * of the list. Only readings that began in this term count: an older one may lack what the last master had committed.
 */
import { applyServerList, type ServerListReport } from '@tillerstair/state';
import { delay, type Clock } from '@tillerstair/wire';
import type { MasterView } from '@tillerstair/zen';
import {
  ageReport,
  neverRead,
  type ListReader,
  type ListReading,
  type ReadingTimes,
} from './list-reader.js';

/** The part of the interval that is paused at least, however late a reading comes. */
const leastPauseDivisor = 20;

/** Polls the list while this control is master. */
export class ListPoll {
  private term = -1;
  private committed: ReadingTimes = neverRead;

  constructor(
    private readonly clock: Clock,
    private readonly reader: ListReader,
  ) {}

  /** Reads the list at its interval until the master steps down. */
  async run(master: MasterView): Promise<void> {
    const startedAt = this.clock.now();
    this.term = master.term;
    this.committed = neverRead;
    while (!master.lost.aborted) {
      const reading = await this.reader.read();
      if (reading.triedAt >= startedAt) await this.commit(master, reading).catch(() => undefined);
      const { intervalMs } = this.reader;
      const untilNext = reading.triedAt + intervalMs - this.clock.now();
      await delay(this.clock, Math.max(intervalMs / leastPauseDivisor, untilNext), master.lost);
    }
  }

  /** The ages of the newest reading that this term has committed; nulls for another term. */
  reported(term: number | undefined): ServerListReport {
    return term === this.term
      ? ageReport(this.committed, this.clock.now())
      : { age: null, readAge: null };
  }

  private async commit(master: MasterView, reading: ListReading): Promise<void> {
    const { triedAt, readAt, servers } = reading;
    const isNew = readAt === triedAt;
    const { committed } = master;
    if (!committed) return;
    if (isNew && applyServerList(committed, servers) !== committed)
      await master.submit((state) => applyServerList(state, servers));
    if (master.lost.aborted || this.term !== master.term) return;
    this.committed = { triedAt, readAt: isNew ? readAt : this.committed.readAt };
  }
}
