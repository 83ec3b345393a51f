/** Servers that drain during a storm, marked by an operator or reported by the server, and that return later. */
import type { DrainingRecord } from '@tillerstair/checker';
import type { OperatorResponse } from '@tillerstair/control';
import type { World } from './world.js';

const markedDrainingMs = 6000;
const reportedDrainingMs = 7000;
const addAttempts = 20;
const addRetryMs = 1000;

/** Dependencies of `StormDrainings`. */
export interface DrainingsOptions {
  readonly world: World;
  readonly delay: (ms: number) => Promise<void>;
  readonly track: (work: Promise<unknown>) => void;
  /** Sends an operator's request to the master. */
  readonly operate: (
    method: string,
    path: string,
    body?: string,
  ) => Promise<OperatorResponse | undefined>;
}

/** Drains servers and records the start and the end of each draining. */
export class StormDrainings {
  readonly records: DrainingRecord[] = [];
  private readonly reportedByServer = new Set<DrainingRecord>();

  constructor(private readonly options: DrainingsOptions) {}

  /** An operator marks a server as draining and adds it again later; false if it is draining already. */
  mark(server: string): boolean {
    if (this.isDraining(server)) return false;
    const { world, track } = this.options;
    const record = { server, at: world.clock.now(), until: Infinity };
    track(this.markAndAdd(record));
    return true;
  }

  /** A server reports that it is draining, for 7 s; false if it is draining already. */
  report(server: string): boolean {
    if (this.isDraining(server)) return false;
    const { world } = this.options;
    const record = { server, at: world.clock.now(), until: Infinity };
    this.records.push(record);
    this.reportedByServer.add(record);
    world.servers.set(server, { draining: true });
    world.clock.after(reportedDrainingMs, () => this.endReported(record));
    return true;
  }

  /** Ends all drainings that servers reported themselves. */
  endAllReported(): void {
    for (const record of this.reportedByServer) this.endReported(record);
  }

  private isDraining(id: string): boolean {
    return this.records.some(({ server, until }) => server === id && until === Infinity);
  }

  private async markAndAdd(record: DrainingRecord): Promise<void> {
    const { operate, delay } = this.options;
    const path = `/v1/servers/${record.server}`;
    const marked = await operate('POST', `${path}/draining`);
    if (marked?.status === 200) this.records.push(record);
    await delay(markedDrainingMs);
    this.end(record);
    const pool = record.server.startsWith('m') ? 'models' : 'shop';
    const body = JSON.stringify({ pool, url: 'http://127.0.0.1:1' });
    for (let attempt = 0; attempt < addAttempts; attempt++) {
      const added = await operate('PUT', path, body);
      if (added?.status === 200) return;
      await delay(addRetryMs);
    }
  }

  private endReported(record: DrainingRecord): void {
    if (!this.reportedByServer.delete(record)) return;
    this.end(record);
    this.options.world.servers.set(record.server, { draining: false });
  }

  private end(record: DrainingRecord): void {
    const index = this.records.indexOf(record);
    if (index < 0) return;
    this.records[index] = { ...record, until: this.options.world.clock.now() };
  }
}
