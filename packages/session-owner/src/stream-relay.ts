/**
 * Passes a server's streamed answer on to the caller, over several attempts where the stream is resumed.
 *
 * Owns what the caller has got: whether a head, how many chunks, and up to which event. The caller gets one head and
 * only whole events, so that another server can go on behind the last one.
 */
import type { ResponseHead } from './backend.js';
import { EventSplitter } from './event-splitter.js';
import type { EmitChunk } from './messages.js';

/** What the caller of one streamed request has got so far. */
export class StreamRelay {
  readonly events = new EventSplitter();
  private emittedChunks = 0;
  private headEmitted = false;
  private emittedBytesOutsideEvents = false;

  constructor(private readonly emit: EmitChunk) {}

  /** How many chunks the caller has got, the head included. */
  get chunks(): number {
    return this.emittedChunks;
  }

  /** Whether another server can go on where this one ended without repeating or losing anything. */
  get resumable(): boolean {
    return !this.events.lastEventHasNoId && !this.emittedBytesOutsideEvents;
  }

  /** Whether the caller has got the head of an answer. */
  get hasHead(): boolean {
    return this.headEmitted;
  }

  /** Sends the head, and all chunks behind it belong to that answer. */
  emitHead(head: ResponseHead): void {
    this.headEmitted = true;
    this.emitText(JSON.stringify(head));
  }

  /** Sends bytes; of a stream of events only what completes events. */
  emitBytes(text: string, insideEvents: boolean): void {
    if (!insideEvents) this.emittedBytesOutsideEvents = true;
    const complete = insideEvents ? this.events.push(text) : text;
    if (complete !== '') this.emitText(complete);
  }

  /** Sends one chunk as it is. */
  emitText(text: string): void {
    this.emit(this.emittedChunks++, text);
  }
}
