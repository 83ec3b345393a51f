/**
 * Passes a server's streamed answer on to the caller, over several attempts where the stream is resumed.
 *
 * Owns what the caller has got: whether a head, how many chunks, and up to which event. The caller gets one head and
 * only whole events, so that another server can go on behind the last one.
 */
import type { Server } from '@tillerstair/state';
import type { BackendOutcome, ResponseHead, ReportedLoad, ResponseSink } from './backend.js';
import { EventSplitter } from './event-splitter.js';
import type { EmitChunk } from './turn-attempts.js';

const ok = 200;

/** Whether a status says that the request succeeded. */
export const isSuccess = (status: number): boolean => status >= 200 && status < 300;

const isEventStream = (head: ResponseHead): boolean =>
  head.headers.some(
    ([name, value]) => name.toLowerCase() === 'content-type' && value.includes('event-stream'),
  );

/** What the caller of one streamed request has got so far. */
export class StreamRelay {
  readonly events = new EventSplitter();
  private emittedChunks = 0;
  private headEmitted = false;
  private emittedBytesOutsideEvents = false;

  constructor(
    private readonly emit: EmitChunk,
    private readonly onLoad: (server: Server, load: ReportedLoad) => void,
  ) {}

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

  /** The sink for the answer of one server. */
  openResponse(server: Server): StreamedResponse {
    return new StreamedResponse(this, (load) => this.onLoad(server, load));
  }

  emitHead(head: ResponseHead): void {
    this.headEmitted = true;
    this.emitText(JSON.stringify(head));
  }

  emitBytes(text: string, insideEvents: boolean): void {
    if (!insideEvents) this.emittedBytesOutsideEvents = true;
    const complete = insideEvents ? this.events.push(text) : text;
    if (complete !== '') this.emitText(complete);
  }

  emitText(text: string): void {
    this.emit(this.emittedChunks++, text);
  }
}

/**
 * One server's answer. The first answer's head goes to the caller, that of a failure only with the whole answer; a later
 * answer must continue the stream of events.
 */
export class StreamedResponse implements ResponseSink {
  private readonly isFirst: boolean;
  private readonly stop = new AbortController();
  private status = ok;
  private hasEvents = true;
  private failure: { readonly head: ResponseHead; readonly body: string } | undefined;

  constructor(
    private readonly relay: StreamRelay,
    private readonly onLoad: (load: ReportedLoad) => void,
  ) {
    this.isFirst = !relay.hasHead;
  }

  /** Aborted once nothing more of the answer is of use. */
  get stopped(): AbortSignal {
    return this.stop.signal;
  }

  cancel(): void {
    this.stop.abort();
  }

  head(head: ResponseHead): void {
    this.status = head.status;
    this.hasEvents = isEventStream(head);
    if (!this.isFirst) {
      if (head.status !== ok || !this.hasEvents) this.stop.abort();
    } else if (isSuccess(head.status)) this.relay.emitHead(head);
    else this.failure = { head, body: '' };
  }

  bytes(text: string): void {
    if (this.stop.signal.aborted) return;
    if (this.failure) this.failure = { ...this.failure, body: this.failure.body + text };
    else this.relay.emitBytes(text, this.hasEvents);
  }

  load(load: ReportedLoad): void {
    this.onLoad(load);
  }

  /** What the end of the answer means for the caller, with what is still to be passed on. */
  finish(ended: BackendOutcome): BackendOutcome {
    if (ended.kind !== 'done') return ended;
    if (this.stop.signal.aborted)
      return { kind: 'lost', text: 'the caller is gone or the stream could not go on' };
    if (this.failure) this.emitFailure(this.failure.head, this.failure.body);
    else if (this.hasEvents) {
      const { events } = this.relay;
      if (events.endsWithinEvent)
        return { kind: 'lost', text: 'the stream stopped within an event' };
      if (events.tail !== '') this.relay.emitText(events.tail);
    }
    return { ...ended, code: this.status };
  }

  private emitFailure(head: ResponseHead, body: string): void {
    this.relay.emitHead(head);
    if (body !== '') this.relay.emitText(body);
  }
}
