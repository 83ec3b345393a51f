/**
 * A log of records that are acknowledged once they are synced, and that is rewritten after a failed write.
 *
 * State: the pending appends and what is known of the file. The records themselves are with the journal's owner.
 * Invariants: one write is under way at a time; an append resolves only when its record is on disk; after a failed or
 * overlong write nothing is accepted until the file has been rewritten from the owner's records and read back
 * (docs/design.md, "Disk").
 */
import { delay, TaskQueue, toTimerMs, type TimerHandle } from '@tillerstair/wire';
import { Digest } from './digest.js';
import type { Disk, DiskFile } from './disk.js';
import { errorText, JournalUnavailableError } from './errors.js';
import { encodeFrame, frameChunks } from './frames.js';
import { LogScanner } from './log-scanner.js';
import { retryTransientDiskErrors, type JournalTimings } from './timings.js';

interface PendingAppend {
  readonly record: unknown;
  resolve(): void;
  reject(error: unknown): void;
}

/**
 * Returns all records that the owner holds at the moment of the call. They are encoded over several turns of the event
 * loop, so what it returns must not change afterwards; it may be iterated more than once.
 */
export type JournalSnapshot = () => Iterable<unknown>;

/** Whoever holds in memory what a journal holds on disk. */
export interface JournalOwner {
  /** Applies the next record while the journal is opened. An error that it throws ends the opening. */
  restore(record: unknown): void;
}

/**
 * The last share of a write's time limit runs on a timer of its own. When the whole process was paused the first timer is
 * overdue at once, but a write that the disk did not delay still gets this share to end in.
 */
const finalTimeoutShare = 0.2;

/** Bytes of a complete file that may be written in the time limit of one sync. */
const rewriteBytesPerSyncTimeout = 4 << 20;

/** A log is rewritten once it is longer than this many times its size after the last rewrite. */
const rewriteGrowthFactor = 2;

/** A recovery attempt that took long is followed by a pause of this many times its duration... */
const retryDurationFactor = 2;

/** ...but of no more than this many retry intervals. */
const maxRetryFactor = 4;

const scanFile = async (file: DiskFile, scanner: LogScanner): Promise<void> => {
  for await (const chunk of file.chunks()) scanner.add(chunk);
};

const digestOfFile = async (file: DiskFile): Promise<Digest> => {
  const digest = new Digest();
  for await (const chunk of file.chunks()) digest.add(chunk);
  return digest;
};

/** The pause after a recovery attempt that failed. */
const retryDelayMs = (retryIntervalMs: number, attemptMs: number): number => {
  const wanted = Math.max(retryIntervalMs, retryDurationFactor * attemptMs);
  return toTimerMs(Math.min(wanted, maxRetryFactor * retryIntervalMs));
};

/** One log on disk; see the module's comment for what it guarantees. */
export class Journal {
  private pending: PendingAppend[] = [];
  /** Why nothing is accepted at present. */
  private failure: string | undefined;
  /** Whether the owner holds records that no write, ended or under way, has put on disk. */
  private fileLacksRecords = false;
  private snapshot: JournalSnapshot | undefined;
  private rewriting = false;
  private readonly closing = new AbortController();
  private syncs = 0;
  private bytes = 0;
  private bytesAfterRewrite = 0;

  private constructor(
    private readonly name: string,
    private readonly file: DiskFile,
    private readonly writes: TaskQueue,
    private readonly timings: JournalTimings,
  ) {}

  /**
   * Opens a journal and passes each record to its owner as it is read. Each attempt begins with a new owner; one that
   * was passed some of the records before the disk failed is dropped.
   *
   * @throws JournalDamagedError if a valid record follows a damaged one, or what the owner throws.
   */
  static open<Owner extends JournalOwner>(
    disk: Disk,
    name: string,
    timings: JournalTimings,
    createOwner: (journal: Journal) => Owner,
  ): Promise<Owner> {
    return retryTransientDiskErrors(timings, name, async () => {
      const file = await disk.open(name);
      const journal = new Journal(name, file, new TaskQueue(`journal-${name}`), timings);
      try {
        const owner = createOwner(journal);
        await journal.load(owner);
        return owner;
      } catch (error) {
        await journal.close().catch(() => undefined);
        throw error;
      }
    });
  }

  private async load(owner: JournalOwner): Promise<void> {
    const scanner = new LogScanner(this.name, (record) => owner.restore(record));
    await scanFile(this.file, scanner);
    if (scanner.validBytes < scanner.totalBytes) await this.file.truncate(scanner.validBytes);
    this.bytes = scanner.validBytes;
    this.bytesAfterRewrite = scanner.validBytes;
  }

  /** The size of the log in bytes. */
  get sizeBytes(): number {
    return this.bytes;
  }

  /** How many appends were synced; those that arrived together count once. */
  get syncCount(): number {
    return this.syncs;
  }

  /** Whether records are accepted: not from a failed or overlong write until the file is known to be complete again. */
  get writable(): boolean {
    return this.failure === undefined;
  }

  /**
   * To be called before the owner changes what it holds.
   *
   * @throws JournalUnavailableError (not executed) if a record would be refused.
   */
  requireWritable(): void {
    if (this.failure !== undefined)
      throw new JournalUnavailableError(this.name, this.failure, 'no');
  }

  /** Sets what the complete file can be rewritten from: in effect, all records that were ever passed to `append`. */
  recoverFrom(snapshot: JournalSnapshot): void {
    this.snapshot = snapshot;
  }

  /** Whether the log is longer than `minBytes` and has grown enough since its last rewrite. */
  needsRewrite(minBytes: number): boolean {
    return this.bytes > minBytes && this.bytes > rewriteGrowthFactor * this.bytesAfterRewrite;
  }

  /**
   * Resolves when the record is on disk. Appends that arrive while a write is under way share the next sync.
   *
   * @throws JournalUnavailableError: with `executed` unknown, the record may be on disk or not.
   */
  append(record: unknown): Promise<void> {
    return new Promise((resolve, reject) => {
      this.requireWritable();
      this.pending.push({ record, resolve, reject });
      if (this.pending.length === 1) void this.writes.run(() => this.flush()).catch(reject);
    });
  }

  private async flush(): Promise<void> {
    const batch = this.pending;
    this.pending = [];
    if (batch.length === 0) return;
    await this.write(batch, this.timings.syncTimeoutMs, async () => {
      const bytes = encodeFrame(batch.map(({ record }) => record));
      await this.file.append(bytes);
      await this.file.sync();
      this.syncs++;
      this.bytes += bytes.length;
    });
  }

  /** Rewrites the file from what its owner holds, which contains all records that were appended so far. */
  async rewrite(snapshot: JournalSnapshot): Promise<void> {
    if (this.rewriting || !this.writable) return;
    this.rewriting = true;
    await this.writes
      .run(async () => {
        if (!this.writable) return;
        const waiting = this.pending;
        this.pending = [];
        await this.write(waiting, this.rewriteTimeoutMs(), () => this.replaceFile(snapshot()));
      })
      .finally(() => {
        this.rewriting = false;
      });
  }

  private rewriteTimeoutMs(): number {
    return this.timings.syncTimeoutMs * (1 + this.bytes / rewriteBytesPerSyncTimeout);
  }

  private async replaceFile(records: Iterable<unknown>): Promise<Digest> {
    const written = new Digest();
    await this.file.replace(written.through(frameChunks(records)));
    this.bytes = written.bytes;
    this.bytesAfterRewrite = written.bytes;
    return written;
  }

  /** Runs one write; whoever waits for it is answered within the limit. The next one starts only when this one has ended. */
  private async write(
    batch: readonly PendingAppend[],
    timeoutMs: number,
    operation: () => Promise<unknown>,
  ): Promise<void> {
    const timeout = this.startTimeout(timeoutMs, () =>
      this.refuse(batch, `a write lasts over ${Math.round(timeoutMs)} ms`),
    );
    try {
      await operation();
      timeout.stop();
      if (this.writable) for (const append of batch) append.resolve();
      else if (this.fileLacksRecords) await this.recover();
      else this.resume();
    } catch (error) {
      timeout.stop();
      this.refuse(batch, errorText(error));
      await this.recover();
    }
  }

  private startTimeout(timeoutMs: number, onTimeout: () => void): TimerHandle {
    const { clock } = this.timings;
    let timer = clock.after(toTimerMs(timeoutMs * (1 - finalTimeoutShare)), () => {
      timer = clock.after(toTimerMs(timeoutMs * finalTimeoutShare), onTimeout);
    });
    return { stop: () => timer.stop() };
  }

  private refuse(batch: readonly PendingAppend[], reason: string): void {
    if (this.writable) this.timings.log?.warn(`${this.name} cannot be written: ${reason}.`);
    this.failure ??= reason;
    if (this.pending.length > 0) this.fileLacksRecords = true;
    const error = new JournalUnavailableError(this.name, reason, 'unknown');
    const refused = [...batch, ...this.pending];
    this.pending = [];
    for (const append of refused) append.reject(error);
  }

  /**
   * After a failed write nobody knows what the file holds: its pages may have been dropped, or may reach the disk later.
   * So it is not appended to again; a new one takes its place, made of all that its owner holds and read back. The
   * snapshot is taken once, since the owner's records do not change before the journal accepts more.
   */
  private async recover(): Promise<void> {
    const { snapshot } = this;
    if (!snapshot) return;
    const { clock, retryIntervalMs } = this.timings;
    let records: Iterable<unknown> | undefined;
    while (!this.closing.signal.aborted) {
      const startedAt = clock.now();
      try {
        records ??= snapshot();
        const written = await this.replaceFile(records);
        const readBack = await digestOfFile(this.file);
        if (readBack.equals(written)) {
          this.resume();
          return;
        }
      } catch (error) {
        this.failure = errorText(error);
      }
      const delayMs = retryDelayMs(retryIntervalMs, clock.now() - startedAt);
      await delay(clock, delayMs, this.closing.signal);
    }
  }

  private resume(): void {
    this.failure = undefined;
    this.fileLacksRecords = false;
    this.timings.log?.info(`${this.name} is complete and writable again.`);
  }

  /** Ends a recovery under way and closes the file once the write under way has ended. */
  async close(): Promise<void> {
    this.closing.abort();
    await this.writes.run(() => this.file.close());
    this.writes.close();
  }
}
