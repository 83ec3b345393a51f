/**
 * Relays a server's streamed response to the caller, over several attempts if the stream is resumed.
 *
 * Owns the record of what was sent to the caller: the head, the number of chunks, and the last event. The caller
 * receives one head and only complete events, so that another server can continue after the last one.
 */
import { BudgetUse, UnavailableError, type ByteBudget } from '@tillerstair/wire';
import type { ResponseHead } from './backend.js';
import { EventSplitter } from './event-splitter.js';
import type { EmitChunk } from './messages.js';

/** Memory of an incomplete event in relation to its bytes. */
const incompleteEventMemoryFactor = 2;
/** Memory of data that is stored once the response has ended: it is also sent to each replica. */
const storedDataMemoryFactor = 5;
/** Memory of the data of an event beside its bytes. */
const bytesPerEvent = 64;
/** The shortest event with data, in bytes. */
const minEventBytes = 'data:\n\n'.length;

/** The response of one streamed request, as sent to the caller so far. */
export class StreamRelay {
  /** The events of the response; it buffers an incomplete one. */
  readonly events: EventSplitter;
  private readonly use: BudgetUse;
  private abandoned = false;
  private emittedChunks = 0;
  private headEmitted = false;
  private emittedBytesOutsideEvents = false;

  /**
   * @param memory - the memory for the answers of all requests under way
   * @param keepsData - whether the data of all events is needed once the response has ended
   */
  constructor(
    private readonly emit: EmitChunk,
    memory: ByteBudget,
    private readonly keepsData: boolean,
  ) {
    this.events = new EventSplitter(keepsData);
    this.use = new BudgetUse(memory);
  }

  /** Gives back the memory of the response; called once, when the request has ended. */
  release(): void {
    this.use.release();
  }

  /** Number of chunks sent to the caller, including the head. */
  get chunks(): number {
    return this.emittedChunks;
  }

  /** Whether another server can continue the stream without repeating or losing data. */
  get resumable(): boolean {
    return !this.events.lastEventHasNoId && !this.emittedBytesOutsideEvents;
  }

  /** Whether the newest bytes were not relayed, since the memory for answers is in use. */
  get isAbandoned(): boolean {
    return this.abandoned;
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

  /**
   * Sends bytes; in a stream of events, only complete events are sent. Throws if the memory for answers is in use, which
   * ends the attempt as lost.
   */
  emitBytes(text: string, insideEvents: boolean): void {
    if (!insideEvents) this.emittedBytesOutsideEvents = true;
    const complete = insideEvents ? this.pushEvents(text) : text;
    if (complete !== '') this.emitText(complete);
  }

  /** Takes memory for bytes that are kept until the response has ended. Throws as `emitBytes` does. */
  reserve(bytes: number): void {
    this.abandoned = !this.use.take(bytes);
    if (this.abandoned)
      throw new UnavailableError('memory-full', 'the memory for answers is in use', 'unknown');
  }

  /** Reserves the most that the bytes may take before they are parsed, since parsed events count as received. */
  private pushEvents(text: string): string {
    const maxEvents = Math.ceil(text.length / minEventBytes);
    this.reserve(
      text.length * this.memoryFactor + (this.keepsData ? maxEvents * bytesPerEvent : 0),
    );
    const complete = this.events.push(text);
    this.use.shrinkTo(this.keptMemoryBytes);
    return complete;
  }

  private get memoryFactor(): number {
    return this.keepsData ? storedDataMemoryFactor : incompleteEventMemoryFactor;
  }

  private get keptMemoryBytes(): number {
    const { keptBytes, count } = this.events;
    return keptBytes * this.memoryFactor + (this.keepsData ? count * bytesPerEvent : 0);
  }

  /** Sends one chunk unchanged. */
  emitText(text: string): void {
    this.emit(this.emittedChunks++, text);
  }
}
