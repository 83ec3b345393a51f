/** A log of records on disk that are acknowledged once they are synced, and that mends itself after a failed write. */
import { Line, pause, wholeMs, type Beat } from '@tillerstair/wire';
import type { Disk, DiskFile } from './disk.js';
import { frame, scan } from './frames.js';
import { hostPace, JournalUnavailable, untilDiskTakes, type JournalPace } from './pace.js';

interface Pending {
  readonly record: unknown;
  done(): void;
  fail(e: unknown): void;
}

type Snapshot = () => readonly unknown[];

/** A write that is stopped by the machine, not by the disk, has this share of its bound left to end in. */
const lastShare = 0.2;

/** Bytes of a whole file that may be written in the time of one sync. */
const bytesPerSync = 4 << 20;

/** An attempt that took long is followed by a longer wait, up to this many times the usual one. */
const longestWait = 4;

const bytesOf = (records: readonly unknown[]): Buffer => Buffer.concat(records.map((r) => frame([r])));

const textOf = (e: unknown): string => (e instanceof Error ? e.message : String(e));

export class Journal {
  private pending: Pending[] = [];
  private failure: string | undefined;
  /** Whether the owner holds records that no write, ended or under way, has put on disk. */
  private behind = false;
  private snapshot: Snapshot | undefined;
  private rewriting = false;
  private readonly closing = new AbortController();
  private syncs = 0;

  private constructor(
    private readonly name: string,
    private readonly file: DiskFile,
    private readonly line: Line,
    private readonly pace: JournalPace,
    private bytes: number,
    private floor: number,
  ) {}

  static open(disk: Disk, name: string, pace: JournalPace = hostPace): Promise<{ journal: Journal; records: readonly unknown[]; cut: number }> {
    return untilDiskTakes(pace, name, async () => {
      const file = await disk.open(name);
      try {
        const bytes = await file.read();
        const { records, good } = scan(name, bytes);
        if (good < bytes.length) await file.cut(good);
        const journal = new Journal(name, file, new Line(`journal-${name}`), pace, good, good);
        return { journal, records, cut: bytes.length - good };
      } catch (e) {
        await file.close().catch(() => undefined);
        throw e;
      }
    });
  }

  get size(): number {
    return this.bytes;
  }

  get syncCount(): number {
    return this.syncs;
  }

  /** Whether records are taken; not from a failed or overlong write until the file is known to be whole again. */
  get writable(): boolean {
    return this.failure === undefined;
  }

  /** Throws if a record would be refused; to be asked before its owner changes what it holds. */
  mustBeWritable(): void {
    if (this.failure !== undefined) throw new JournalUnavailable(this.name, this.failure, 'no');
  }

  /** Says from what the whole file can be written anew: all records that were ever handed to `append`, in effect. */
  recoverFrom(snapshot: Snapshot): void {
    this.snapshot = snapshot;
  }

  long(least: number): boolean {
    return this.bytes > least && this.bytes > 2 * this.floor;
  }

  /** Resolves when the record is on disk. One that was refused with `ran` unknown may be on disk or not. */
  append(record: unknown): Promise<void> {
    return new Promise((done, fail) => {
      this.mustBeWritable();
      this.pending.push({ record, done, fail });
      if (this.pending.length === 1) void this.line.run(() => this.flush()).catch(fail);
    });
  }

  private async flush(): Promise<void> {
    const batch = this.pending;
    this.pending = [];
    if (batch.length === 0) return;
    await this.write(batch, this.pace.syncWithin, async () => {
      const bytes = frame(batch.map((p) => p.record));
      await this.file.append(bytes);
      await this.file.sync();
      this.syncs++;
      this.bytes += bytes.length;
    });
  }

  /** Writes the file anew from what its owner holds, which contains all records handed over so far. */
  async rewrite(records: Snapshot): Promise<void> {
    if (this.rewriting || !this.writable) return;
    this.rewriting = true;
    await this.line
      .run(async () => {
        if (!this.writable) return;
        const waiting = this.pending;
        this.pending = [];
        await this.write(waiting, this.rewriteWithin(), () => this.replace(bytesOf(records())));
      })
      .finally(() => {
        this.rewriting = false;
      });
  }

  private rewriteWithin(): number {
    return this.pace.syncWithin * (1 + this.bytes / bytesPerSync);
  }

  private async replace(bytes: Buffer): Promise<void> {
    await this.file.replace(bytes);
    this.bytes = bytes.length;
    this.floor = bytes.length;
  }

  /** Runs one write; who waits for it hears within the bound. The next one starts only when this one has ended. */
  private async write(batch: readonly Pending[], within: number, work: () => Promise<unknown>): Promise<void> {
    const limit = this.limit(within, () => this.refuse(batch, `a write lasts over ${Math.round(within)} ms`));
    try {
      await work();
      limit.stop();
      if (this.writable) for (const p of batch) p.done();
      else if (this.behind) await this.recover();
      else this.resume();
    } catch (e) {
      limit.stop();
      this.refuse(batch, textOf(e));
      await this.recover();
    }
  }

  private limit(within: number, onLate: () => void): Beat {
    const { clock } = this.pace;
    let beat = clock.after(wholeMs(within * (1 - lastShare)), () => {
      beat = clock.after(wholeMs(within * lastShare), onLate);
    });
    return { stop: () => beat.stop() };
  }

  private refuse(batch: readonly Pending[], why: string): void {
    if (this.writable) this.pace.log?.warn(`${this.name} cannot be written: ${why}.`);
    this.failure ??= why;
    if (this.pending.length > 0) this.behind = true;
    const error = new JournalUnavailable(this.name, why, 'unknown');
    const waiting = [...batch, ...this.pending];
    this.pending = [];
    for (const p of waiting) p.fail(error);
  }

  /**
   * After a failed write nobody knows what the file holds: its pages may have been dropped, or may reach the disk later.
   * So it is not appended to again; a new one takes its place, made of all that its owner holds and read back. Its bytes
   * are made once, since the owner's records do not change before the journal takes more.
   */
  private async recover(): Promise<void> {
    const { snapshot } = this;
    if (!snapshot) return;
    const { clock, retryEvery } = this.pace;
    let bytes: Buffer | undefined;
    while (!this.closing.signal.aborted) {
      const began = clock.now();
      try {
        bytes ??= bytesOf(snapshot());
        await this.replace(bytes);
        const held = await this.file.read();
        if (held.equals(bytes)) return this.resume();
      } catch (e) {
        this.failure = textOf(e);
      }
      const took = clock.now() - began;
      const wait = Math.min(Math.max(retryEvery, 2 * took), longestWait * retryEvery);
      await pause(clock, wholeMs(wait), this.closing.signal);
    }
  }

  private resume(): void {
    this.failure = undefined;
    this.behind = false;
    this.pace.log?.info(`${this.name} is whole and written again.`);
  }

  async close(): Promise<void> {
    this.closing.abort();
    await this.line.run(() => this.file.close());
    this.line.close();
  }
}
