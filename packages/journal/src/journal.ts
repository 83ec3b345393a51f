/** A log of records on disk that are acknowledged once they are synced, and that mends itself after a failed write. */
import { TaskQueue, delay, toTimerMs, type TimerHandle } from '@tillerstair/wire';
import type { Disk, DiskFile } from './disk.js';
import { chunksOf, Digest, frame, Scanner } from './frames.js';
import { hostPace, JournalUnavailableError, untilDiskTakes, type JournalPace } from './pace.js';

interface Pending {
  readonly record: unknown;
  done(): void;
  fail(e: unknown): void;
}

/**
 * All records an owner holds at the moment of the call. They are framed over several turns of the event loop, so what it
 * returns must not change afterwards; it may be iterated more than once.
 */
type Snapshot = () => Iterable<unknown>;

/** Who holds in memory what a journal holds on disk. */
export interface JournalOwner {
  /** Takes the next record while the journal is opened. */
  restore(record: unknown): void;
}

/** A write that is stopped by the machine, not by the disk, has this share of its bound left to end in. */
const lastShare = 0.2;

/** Bytes of a whole file that may be written in the time of one sync. */
const bytesPerSync = 4 << 20;

/** An attempt that took long is followed by a longer wait, up to this many times the usual one. */
const longestWait = 4;

const scanFile = async (file: DiskFile, scanner: Scanner): Promise<void> => {
  for await (const chunk of file.chunks()) scanner.add(chunk);
};

const digestOf = async (file: DiskFile): Promise<Digest> => {
  const digest = new Digest();
  for await (const chunk of file.chunks()) digest.add(chunk);
  return digest;
};

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
  private bytes = 0;
  private floor = 0;

  private constructor(
    private readonly name: string,
    private readonly file: DiskFile,
    private readonly taskQueue: TaskQueue,
    private readonly pace: JournalPace,
  ) {}

  /** Opens a journal and returns all its records; an owner with many takes them one by one with `openFor`. */
  static async open(disk: Disk, name: string, pace: JournalPace = hostPace): Promise<{ journal: Journal; records: readonly unknown[] }> {
    return Journal.openFor(disk, name, pace, (journal) => {
      const records: unknown[] = [];
      return { journal, records, restore: (record: unknown) => void records.push(record) };
    });
  }

  /**
   * Opens a journal and hands each record to its owner as it is read. Each attempt begins with a new owner; one that was
   * handed a part of the records before the disk failed is dropped.
   */
  static openFor<Owner extends JournalOwner>(disk: Disk, name: string, pace: JournalPace, begin: (journal: Journal) => Owner): Promise<Owner> {
    return untilDiskTakes(pace, name, async () => {
      const file = await disk.open(name);
      const journal = new Journal(name, file, new TaskQueue(`journal-${name}`), pace);
      try {
        const owner = begin(journal);
        await journal.load(owner);
        return owner;
      } catch (e) {
        await journal.close().catch(() => undefined);
        throw e;
      }
    });
  }

  private async load(owner: JournalOwner): Promise<void> {
    const scanner = new Scanner(this.name, (record) => owner.restore(record));
    await scanFile(this.file, scanner);
    if (scanner.good < scanner.size) await this.file.cut(scanner.good);
    this.bytes = scanner.good;
    this.floor = scanner.good;
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
    if (this.failure !== undefined) throw new JournalUnavailableError(this.name, this.failure, 'no');
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
      if (this.pending.length === 1) void this.taskQueue.run(() => this.flush()).catch(fail);
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
    await this.taskQueue
      .run(async () => {
        if (!this.writable) return;
        const waiting = this.pending;
        this.pending = [];
        await this.write(waiting, this.rewriteWithin(), () => this.replace(records()));
      })
      .finally(() => {
        this.rewriting = false;
      });
  }

  private rewriteWithin(): number {
    return this.pace.syncWithin * (1 + this.bytes / bytesPerSync);
  }

  private async replace(records: Iterable<unknown>): Promise<Digest> {
    const written = new Digest();
    await this.file.replace(written.through(chunksOf(records)));
    this.bytes = written.bytes;
    this.floor = written.bytes;
    return written;
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

  private limit(within: number, onLate: () => void): TimerHandle {
    const { clock } = this.pace;
    let timer = clock.after(toTimerMs(within * (1 - lastShare)), () => {
      timer = clock.after(toTimerMs(within * lastShare), onLate);
    });
    return { stop: () => timer.stop() };
  }

  private refuse(batch: readonly Pending[], why: string): void {
    if (this.writable) this.pace.log?.warn(`${this.name} cannot be written: ${why}.`);
    this.failure ??= why;
    if (this.pending.length > 0) this.behind = true;
    const error = new JournalUnavailableError(this.name, why, 'unknown');
    const waiting = [...batch, ...this.pending];
    this.pending = [];
    for (const p of waiting) p.fail(error);
  }

  /**
   * After a failed write nobody knows what the file holds: its pages may have been dropped, or may reach the disk later.
   * So it is not appended to again; a new one takes its place, made of all that its owner holds and read back. The
   * snapshot is taken once, since the owner's records do not change before the journal takes more.
   */
  private async recover(): Promise<void> {
    const { snapshot } = this;
    if (!snapshot) return;
    const { clock, retryEvery } = this.pace;
    let records: Iterable<unknown> | undefined;
    while (!this.closing.signal.aborted) {
      const began = clock.now();
      try {
        records ??= snapshot();
        const written = await this.replace(records);
        const held = await digestOf(this.file);
        if (held.equals(written)) return this.resume();
      } catch (e) {
        this.failure = textOf(e);
      }
      const took = clock.now() - began;
      const wait = Math.min(Math.max(retryEvery, 2 * took), longestWait * retryEvery);
      await delay(clock, toTimerMs(wait), this.closing.signal);
    }
  }

  private resume(): void {
    this.failure = undefined;
    this.behind = false;
    this.pace.log?.info(`${this.name} is whole and written again.`);
  }

  async close(): Promise<void> {
    this.closing.abort();
    await this.taskQueue.run(() => this.file.close());
    this.taskQueue.close();
  }
}
