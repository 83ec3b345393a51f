/**
 * Relays a server's streamed response to the caller, over several attempts if the stream is resumed.
 *
 * Owns the record of what was sent to the caller: the head, the number of chunks, and the last event. The caller
 * receives one head and only complete events, so that another server can continue after the last one.
 */
import type { ResponseHead } from './backend.js';
import { EventSplitter } from './event-splitter.js';
import type { EmitChunk } from './messages.js';

/** The response of one streamed request, as sent to the caller so far. */
export class StreamRelay {
  /** The events of the response; it buffers an incomplete one. */
  readonly events = new EventSplitter();
  private emittedChunks = 0;
  private headEmitted = false;
  private emittedBytesOutsideEvents = false;

  constructor(private readonly emit: EmitChunk) {}

  /** Number of chunks sent to the caller, including the head. */
  get chunks(): number {
    return this.emittedChunks;
  }

  /** Whether another server can continue the stream without repeating or losing data. */
  get resumable(): boolean {
    return !this.events.lastEventHasNoId && !this.emittedBytesOutsideEvents;
  }

  /** Whether the head of a response was sent to the caller. */
  get hasHead(): boolean {
    return this.headEmitted;
  }

  /** Sends the head as the first chunk; all later chunks belong to its response. */
  emitHead(head: ResponseHead): void {
    this.headEmitted = true;
    this.emitText(JSON.stringify(head));
  }

  /** Sends bytes; in a stream of events, only complete events are sent. */
  emitBytes(text: string, insideEvents: boolean): void {
    if (!insideEvents) this.emittedBytesOutsideEvents = true;
    const complete = insideEvents ? this.events.push(text) : text;
    if (complete !== '') this.emitText(complete);
  }

  /** Sends one chunk unchanged. */
  emitText(text: string): void {
    this.emit(this.emittedChunks++, text);
  }
}
