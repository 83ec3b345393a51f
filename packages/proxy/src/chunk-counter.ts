/** Checks that a stream from another front is complete: each chunk once, in order, and as many as its end states. */
import { unknown, type CallOutcome, type EmitChunk } from '@tillerstair/session-owner';
import { StreamEnd } from './messages.js';

/** Counts the chunks of one stream and passes them on until one is skipped or repeated. */
export class ChunkCounter {
  private count = 0;
  private inOrder = true;

  constructor(private readonly emit: EmitChunk) {}

  /** Number of chunks passed on so far. */
  get emitted(): number {
    return this.count;
  }

  /** Passes chunk `index` on, unless it or an earlier chunk was skipped or repeated. */
  readonly accept: EmitChunk = (index, text) => {
    this.inOrder &&= index === this.count;
    if (!this.inOrder) return;
    this.count++;
    this.emit(index, text);
  };

  /** Returns `outcome`, or an unknown outcome if the owner reports success but the stream did not arrive complete. */
  check(outcome: CallOutcome): CallOutcome {
    if (outcome.outcome !== 'done') return outcome;
    const end = StreamEnd.safeParse(outcome.body);
    return this.inOrder && end.success && end.data.end.chunks === this.count
      ? outcome
      : unknown(`incomplete stream: ${this.count} chunks arrived in order`, 'broken-off');
  }
}
