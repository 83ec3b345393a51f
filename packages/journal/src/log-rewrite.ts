/**
 * The content of a log that is written anew while the old one is still appended to: the records of one moment, then the
 * frames that were appended to the old log since. Appends wait only while these last frames are written.
 */
import { Digest } from './digest.js';
import { frameChunks } from './frames.js';

/** Why a rewrite ended without replacing the log: a write to the old one failed, or the journal was closed. */
export class RewriteAbortedError extends Error {
  constructor() {
    super('the rewrite of the log was aborted');
  }
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
  private readonly appended: Buffer[] = [];
  private readonly aborted = new AbortController();
  private readonly recordsEnded = new AbortController();
  private readonly appendsHeld = new AbortController();

  /** @param records - the records of the moment at which the rewrite began */
  constructor(private readonly records: Iterable<unknown>) {}

  get isAborted(): boolean {
    return this.aborted.signal.aborted;
  }

  /** Resolves once all records have been written, so that appends can be held. */
  recordsWritten(): Promise<void> {
    return anyOf([this.recordsEnded.signal]);
  }

  /** Adds a frame that was appended to the old log since the rewrite began. */
  add(frame: Buffer): void {
    this.appended.push(frame);
  }

  /** Lets the rewrite end: nothing is appended to the old log any more. */
  holdAppends(): void {
    this.appendsHeld.abort();
  }

  /** Makes `chunks` throw; no effect once it has ended. */
  abort(): void {
    this.aborted.abort();
  }

  /** The chunks of the new log. Throws a `RewriteAbortedError` once the rewrite is aborted. */
  async *chunks(): AsyncGenerator<Buffer> {
    for (const chunk of this.written.through(frameChunks(this.records))) {
      this.requireNotAborted();
      yield chunk;
    }
    this.recordsEnded.abort();
    await anyOf([this.appendsHeld.signal, this.aborted.signal]);
    this.requireNotAborted();
    yield* this.written.through(this.appended);
  }

  private requireNotAborted(): void {
    if (this.isAborted) throw new RewriteAbortedError();
  }
}
