/**
 * Bounds the bytes that wait in this process for their receivers to read them. Owns the streams with unsent bytes. While
 * they exceed the limit, the stream with the most unsent bytes is cut off.
 */
import type { Writable } from 'node:stream';

const aloneFactor = 2;

/** A stream whose unsent bytes are counted; responses and sockets are such streams. */
export type UnsentStream = Pick<
  Writable,
  'writableLength' | 'destroyed' | 'closed' | 'destroy' | 'once'
>;

/** The streams of a process that may have unsent bytes. */
export class UnsentBytes {
  private readonly unsent = new Map<UnsentStream, number>();
  private readonly watched = new WeakSet<UnsentStream>();
  private total = 0;

  /** @param maxBytes - maximum number of unsent bytes of all streams together */
  constructor(private readonly maxBytes = Infinity) {}

  /** Counts the bytes that were just written to a stream; to be called after each write. */
  wrote(stream: UnsentStream): void {
    this.watch(stream);
    this.update(stream, stream.destroyed ? 0 : stream.writableLength);
    if (this.total > this.limit) this.cutLongest();
  }

  private watch(stream: UnsentStream): void {
    if (this.watched.has(stream)) return;
    this.watched.add(stream);
    stream.once('close', () => this.update(stream, 0));
  }

  /** One stream alone may take twice as much: it holds a long answer rather than those of a crowd. */
  private get limit(): number {
    return this.unsent.size <= 1 ? this.maxBytes * aloneFactor : this.maxBytes;
  }

  private update(stream: UnsentStream, bytes: number): void {
    this.total += bytes - (this.unsent.get(stream) ?? 0);
    if (stream.closed || bytes === 0) this.unsent.delete(stream);
    else this.unsent.set(stream, bytes);
  }

  /** Brings all counts up to date, since receivers have read meanwhile, and cuts streams off until the limit holds. */
  private cutLongest(): void {
    for (const stream of [...this.unsent.keys()]) this.update(stream, stream.writableLength);
    while (this.total > this.limit) {
      const [longest] = [...this.unsent].reduce((left, right) =>
        right[1] > left[1] ? right : left,
      );
      this.update(longest, 0);
      longest.destroy();
    }
  }
}
