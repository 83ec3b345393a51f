/** Checks that a stream arrives complete over the inner wire: every chunk once, in order, as many as its end counts. */
import { unknown, type CallOutcome, type EmitChunk } from '@tillerstair/session-owner';
import { StreamEnd } from './messages.js';

/** Passes the chunks of one stream on as long as none is skipped or repeated, and counts them. */
export class ChunkCounter {
  private count = 0;
  private inOrder = true;

  constructor(private readonly emit: EmitChunk) {}

  /** How many chunks were passed on. */
  get emitted(): number {
    return this.count;
  }

  /** Takes chunk `index`; nothing is passed on from the first gap or repeat on. */
  readonly accept: EmitChunk = (index, text) => {
    this.inOrder &&= index === this.count;
    if (!this.inOrder) return;
    this.count++;
    this.emit(index, text);
  };

  /** The outcome of the stream: unknown if it is done by its own word but did not arrive complete. */
  check(outcome: CallOutcome): CallOutcome {
    if (outcome.outcome !== 'done') return outcome;
    const end = StreamEnd.safeParse(outcome.body);
    return this.inOrder && end.success && end.data.end.chunks === this.count
      ? outcome
      : unknown('the stream did not arrive complete', 'broken-off');
  }
}
