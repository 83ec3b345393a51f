/**
 * The content of a log that is written anew while the old one is still appended to: the records of one moment, then what was
 * appended to the old log since, which is read back from it. Appends wait only while the last part of that is written.
 */
import { Digest } from './digest.js';
import { frameChunks } from './frames.js';

/** Size of what was appended below which appends are held and the rest is written, in bytes. */
const holdBelowBytes = 256 << 10;
/** Times that what was appended meanwhile is written before appends are held however much it is. */
const maxRounds = 8;

/** Why a rewrite ended without replacing the log: a write to the old one failed, or the journal was closed. */
export class RewriteAbortedError extends Error {
  constructor() {
    super('the rewrite of the log was aborted');
  }
}

/** The log that is replaced, and that is appended to meanwhile. */
export interface OldLog {
  /** Its size as of the last append that was synced, in bytes. */
  readonly size: () => number;
  /** Reads it from an offset to its end. A chunk is valid only until the next one is requested. */
  readonly read: (start: number) => AsyncIterable<Buffer>;
}

/** Resolves once one of the signals is set. */
const anyOf = (signals: readonly AbortSignal[]): Promise<void> =>
  new Promise((resolve) => {
    for (const signal of signals)
      if (signal.aborted) resolve();
      else signal.addEventListener('abort', () => resolve(), { once: true });
  });

/** One rewrite of a log. */
export class LogRewrite {
  /** Length and checksum of the chunks so far. */
  readonly written = new Digest();
  /** Offset in the old log up to which it is in the new one. */
  private position: number;
  private readonly aborted = new AbortController();
  private readonly recordsEnded = new AbortController();
  private readonly appendsHeld = new AbortController();

  /**
   * @param records - the records of one moment
   * @param oldLog - the log that has all of these records, and to which nothing was appended since
   */
  constructor(
    private readonly records: Iterable<unknown>,
    private readonly oldLog: OldLog,
  ) {
    this.position = oldLog.size();
  }

  get isAborted(): boolean {
    return this.aborted.signal.aborted;
  }

  /** Resolves once little is left to be written, so that appends can be held. */
  recordsWritten(): Promise<void> {
    return anyOf([this.recordsEnded.signal]);
  }

  /** Lets the rewrite end: nothing is appended to the old log any more. */
  holdAppends(): void {
    this.appendsHeld.abort();
  }

  /** Makes `chunks` throw; no effect once appends are held. */
  abort(): void {
    this.aborted.abort();
  }

  /**
   * The chunks of the new log, each valid only until the next one is requested. Throws a `RewriteAbortedError` once the
   * rewrite is aborted, and what reading the old log throws.
   */
  async *chunks(): AsyncGenerator<Buffer> {
    for (const chunk of frameChunks(this.records)) {
      this.requireNotAborted();
      yield this.count(chunk);
    }
    for (let round = 0; round < maxRounds && this.remainingBytes > holdBelowBytes; round++)
      for await (const chunk of this.readAppended()) {
        this.requireNotAborted();
        yield chunk;
      }
    this.recordsEnded.abort();
    await anyOf([this.appendsHeld.signal, this.aborted.signal]);
    this.requireNotAborted();
    yield* this.readAppended();
  }

  private get remainingBytes(): number {
    return this.oldLog.size() - this.position;
  }

  /** What was appended to the old log until now and is not in the new one yet. */
  private async *readAppended(): AsyncGenerator<Buffer> {
    const end = this.oldLog.size();
    for await (const chunk of this.oldLog.read(this.position)) {
      const part = chunk.subarray(0, end - this.position);
      this.position += part.length;
      if (part.length > 0) yield this.count(part);
      if (this.position === end) return;
    }
  }

  private count(chunk: Buffer): Buffer {
    this.written.add(chunk);
    return chunk;
  }

  private requireNotAborted(): void {
    if (this.isAborted) throw new RewriteAbortedError();
  }
}
