/**
 * A log whose records are acknowledged once they are synced, and which is rewritten after a failed write.
 *
 * State: the pending appends, and the size and health of the file. The journal's owner holds the records themselves.
 * Invariants: at most one write is in flight; an append resolves only when its record is on disk; after a write that
 * failed or timed out, appends are rejected until the file has been rewritten from the owner's records and read back,
 * or until the late write has succeeded and the file lacks no record (docs/design.md, "Disk").
 */
import { delay, TaskQueue, toTimerMs, type TimerHandle } from '@tillerstair/wire';
import { Digest } from './digest.js';
import type { Disk, DiskFile } from './disk.js';
import { errorText, JournalUnavailableError } from './errors.js';
import { encodeFrame, frameChunks } from './frames.js';
import { LogRewrite, RewriteAbortedError } from './log-rewrite.js';
import { LogScanner } from './log-scanner.js';
import { retryTransientDiskErrors, type JournalTimings } from './timings.js';

/** An append whose caller waits for its record to be synced. */
interface PendingAppend {
  readonly record: unknown;
  resolve(): void;
  reject(error: unknown): void;
}

/** A rewrite under way: the content of the new log, and the replacement of the file by it. */
interface RunningRewrite {
  readonly log: LogRewrite;
  readonly replaced: Promise<void>;
}

/**
 * Returns all records that the owner holds at the moment of the call. The records are encoded over several turns of the
 * event loop, so the returned iterable must not change afterwards; it may be iterated more than once.
 */
export type JournalSnapshot = () => Iterable<unknown>;

/** Holds in memory the records that a journal stores on disk. */
export interface JournalOwner {
  /** Applies the next record while the journal is opened. If it throws, opening the journal fails with that error. */
  restore(record: unknown): void;
}

/**
 * Fraction of a write's timeout that runs on a second timer, after the first one has fired. If the whole process was
 * paused, the first timer fires as soon as the process resumes; a write that the disk did not delay can still complete
 * before the second timer fires.
 */
const finalTimeoutFraction = 0.2;

/** A log is due for a rewrite once it exceeds its size after the last rewrite by this factor. */
const rewriteGrowthFactor = 2;

/** After a failed recovery attempt, the delay is at least the duration of the attempt times this factor. */
const retryDurationFactor = 2;

/** Maximum delay after a failed recovery attempt, in retry intervals. */
const maxRetryIntervals = 4;

const scanFile = async (file: DiskFile, scanner: LogScanner): Promise<void> => {
  for await (const chunk of file.chunks()) scanner.add(chunk);
};

const digestOfFile = async (file: DiskFile): Promise<Digest> => {
  const digest = new Digest();
  for await (const chunk of file.chunks()) digest.add(chunk);
  return digest;
};

/** The delay after a failed recovery attempt that took `attemptMs`, in ms. */
const retryDelayMs = (retryIntervalMs: number, attemptMs: number): number => {
  const uncappedMs = Math.max(retryIntervalMs, retryDurationFactor * attemptMs);
  return toTimerMs(Math.min(uncappedMs, maxRetryIntervals * retryIntervalMs));
};

/** One log on disk, with the guarantees that the comment of this module lists. */
export class Journal {
  private pending: PendingAppend[] = [];
  /** Why appends are rejected; undefined while the journal is writable. */
  private failure: string | undefined;
  /** Whether the owner holds records that were rejected while pending, so that no write includes them. */
  private fileLacksRecords = false;
  private snapshot: JournalSnapshot | undefined;
  /** The rewrite under way, and its replacement of the file. */
  private rewriting: RunningRewrite | undefined;
  private isRewriting = false;
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
   * Opens a journal and passes each record to its owner as it is read. Retries while the disk is full or fails, each
   * time with a new owner: the previous one may have received only some of the records.
   *
   * @throws JournalDamagedError if a valid record follows a damaged one; any error that the owner throws.
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

  /** The number of successful syncs of appended batches. */
  get syncCount(): number {
    return this.syncs;
  }

  /** Whether appends are accepted; false from a write that failed or timed out until the file is complete again. */
  get writable(): boolean {
    return this.failure === undefined;
  }

  /**
   * Checks that an append would be accepted; the owner calls this before it changes its records.
   *
   * @throws JournalUnavailableError with `executed` no, if the journal is not writable.
   */
  requireWritable(): void {
    if (this.failure !== undefined)
      throw new JournalUnavailableError(this.name, this.failure, 'no');
  }

  /** Sets the source of recovery rewrites, which must reproduce the effect of all records ever passed to `append`. */
  recoverFrom(snapshot: JournalSnapshot): void {
    this.snapshot = snapshot;
  }

  /** Whether the log exceeds `minBytes` and has grown enough since its last rewrite. */
  needsRewrite(minBytes: number): boolean {
    return this.bytes > minBytes && this.bytes > rewriteGrowthFactor * this.bytesAfterRewrite;
  }

  /**
   * Resolves when the record is on disk. Appends that arrive while a write is in flight share the next sync.
   *
   * @throws JournalUnavailableError; if its `executed` is unknown, the record may or may not be on disk.
   */
  append(record: unknown): Promise<void> {
    return new Promise((resolve, reject) => {
      this.requireWritable();
      this.pending.push({ record, resolve, reject });
      if (this.pending.length === 1) void this.writes.run(() => this.flush()).catch(reject);
    });
  }

  private async flush(): Promise<void> {
    const batch = this.takePending();
    if (batch.length > 0) await this.appendBatch(batch);
  }

  private takePending(): readonly PendingAppend[] {
    const batch = this.pending;
    this.pending = [];
    return batch;
  }

  private appendBatch(batch: readonly PendingAppend[]): Promise<void> {
    return this.write(batch, this.timings.syncTimeoutMs, async () => {
      const bytes = encodeFrame(batch.map(({ record }) => record));
      await this.file.append(bytes);
      await this.file.sync();
      this.syncs++;
      this.bytes += bytes.length;
    });
  }

  /**
   * Compacts the file to the owner's snapshot, which must include all records appended so far, and to what is appended
   * meanwhile. Does nothing if a rewrite is in progress or the journal is not writable. If the new file cannot be written,
   * the old one stays.
   */
  async rewrite(snapshot: JournalSnapshot): Promise<void> {
    if (this.isRewriting || !this.writable) return;
    this.isRewriting = true;
    try {
      const rewriting = await this.writes.run(() => this.beginRewrite(snapshot));
      if (rewriting) await this.finishRewrite(rewriting);
    } finally {
      this.isRewriting = false;
    }
  }

  /** Takes the snapshot, with the pending appends in it, which are then written to the old file. */
  private async beginRewrite(snapshot: JournalSnapshot): Promise<RunningRewrite | undefined> {
    if (!this.writable) return undefined;
    const batch = this.takePending();
    const records = snapshot();
    if (batch.length > 0) await this.appendBatch(batch);
    if (!this.isWritableNow()) return undefined;
    const log = new LogRewrite(records, {
      size: () => this.bytes,
      read: (start) => this.file.chunks(start),
    });
    const replaced = this.file.replace(log.chunks());
    replaced.catch(() => undefined);
    this.rewriting = { log, replaced };
    return this.rewriting;
  }

  /** Waits until the records are written, then replaces the file; if that is not possible, the old file stays. */
  private async finishRewrite(rewriting: RunningRewrite): Promise<void> {
    try {
      await Promise.race([rewriting.log.recordsWritten(), rewriting.replaced]);
      await this.writes.run(() => this.replaceByRewrite(rewriting));
    } catch (error) {
      this.bytesAfterRewrite = this.bytes;
      this.timings.log?.warn(`Journal ${this.name} was not rewritten: ${errorText(error)}.`);
    } finally {
      this.rewriting = undefined;
    }
  }

  /** Holds appends while the last frames are written and the new file takes the place of the old one. */
  private async replaceByRewrite({ log, replaced }: RunningRewrite): Promise<void> {
    if (log.isAborted) throw new RewriteAbortedError();
    await this.write([], this.timings.syncTimeoutMs, async () => {
      log.holdAppends();
      await replaced;
      this.bytes = log.written.bytes;
      this.bytesAfterRewrite = log.written.bytes;
    });
  }

  /** Ends the rewrite under way, so that the file can be replaced again. */
  private async abortRewrite(): Promise<void> {
    const { rewriting } = this;
    if (!rewriting) return;
    rewriting.log.abort();
    await rewriting.replaced.catch(() => undefined);
  }

  /** Reads `writable` again after an await; the compiler would otherwise assume that it has not changed. */
  private isWritableNow(): boolean {
    return this.failure === undefined;
  }

  private async replaceFile(records: Iterable<unknown>): Promise<Digest> {
    const written = new Digest();
    await this.file.replace(written.through(frameChunks(records)));
    this.bytes = written.bytes;
    this.bytesAfterRewrite = written.bytes;
    return written;
  }

  /**
   * Runs one write, and resolves or rejects its appends within `timeoutMs`. A write that takes longer is still awaited
   * before the next one starts.
   */
  private async write(
    batch: readonly PendingAppend[],
    timeoutMs: number,
    operation: () => Promise<unknown>,
  ): Promise<void> {
    const timeout = this.startTimeout(timeoutMs, () =>
      this.refuse(batch, `a write took longer than ${Math.round(timeoutMs)} ms`),
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
    let timer = clock.after(toTimerMs(timeoutMs * (1 - finalTimeoutFraction)), () => {
      timer = clock.after(toTimerMs(timeoutMs * finalTimeoutFraction), onTimeout);
    });
    return { stop: () => timer.stop() };
  }

  /** Marks the journal as not writable, and rejects the appends of a batch and all pending ones. */
  private refuse(batch: readonly PendingAppend[], reason: string): void {
    if (this.writable) this.timings.log?.warn(`Journal ${this.name} cannot be written: ${reason}.`);
    this.failure ??= reason;
    if (this.pending.length > 0) this.fileLacksRecords = true;
    const error = new JournalUnavailableError(this.name, reason, 'unknown');
    const rejected = [...batch, ...this.pending];
    this.pending = [];
    for (const append of rejected) append.reject(error);
  }

  /**
   * Replaces the file with a snapshot of the owner's records and reads it back, until that succeeds or the journal is
   * closed. After a failed write the content of the old file is unknown: the kernel may have dropped its dirty pages,
   * or may write them later. So it is not appended to again. The snapshot is taken once, since the owner's records do
   * not change while the journal rejects appends.
   */
  private async recover(): Promise<void> {
    await this.abortRewrite();
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
    this.timings.log?.info(`Journal ${this.name} is complete and writable again.`);
  }

  /** Stops a running recovery, and closes the file after the write in flight has ended. */
  async close(): Promise<void> {
    this.closing.abort();
    await this.abortRewrite();
    await this.writes.run(() => this.file.close());
    this.writes.close();
  }
}
