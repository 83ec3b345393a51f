/**
 * The master's poll of the server list: commits each reading that changes the state, and reports the age of the
 * committed reading to fronts. Only readings that began in this term count: an earlier one may lack servers that the
 * previous master had committed.
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

/** Divides the read interval to get the shortest pause between two polls, however late a reading completes. */
const minPauseDivisor = 20;

/** Polls the server list while this control is master. */
export class ListPoll {
  private term = -1;
  private committed: ReadingTimes = neverRead;

  constructor(
    private readonly clock: Clock,
    private readonly reader: ListReader,
  ) {}

  /** Reads the server list at its interval until the master steps down. */
  async run(master: MasterView): Promise<void> {
    const startedAt = this.clock.now();
    this.term = master.term;
    this.committed = neverRead;
    while (!master.lost.aborted) {
      const reading = await this.reader.read();
      if (reading.triedAt >= startedAt) await this.commit(master, reading).catch(() => undefined);
      const { intervalMs } = this.reader;
      const untilNext = reading.triedAt + intervalMs - this.clock.now();
      await delay(this.clock, Math.max(intervalMs / minPauseDivisor, untilNext), master.lost);
    }
  }

  /** Ages of the newest reading that was committed in this term; nulls for any other term. */
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
