import type { BackendOutcome, ReportedLoad, ResponseHead, ResponseSink } from './backend.js';
import type { StreamRelay } from './stream-relay.js';

const ok = 200;
/** Memory of the body of a failed response in relation to its bytes. */
const failureMemoryFactor = 2;

/** Whether an HTTP status is a success, 200 to 299. */
export const isSuccess = (status: number): boolean => status >= 200 && status < 300;

const isEventStream = (head: ResponseHead): boolean =>
  head.headers.some(
    ([name, value]) => name.toLowerCase() === 'content-type' && value.includes('event-stream'),
  );

/**
 * One server's response to a streamed request. The head of the first response is sent to the caller; if it is an error,
 * only once the response is complete. A later response must continue the stream of events, with status 200.
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

  /** Aborted once the rest of the response is no longer needed. */
  get abortSignal(): AbortSignal {
    return this.stop.signal;
  }

  /** Stops relaying the response, since the caller has disconnected. */
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
    if (this.failure) {
      this.relay.reserve(text.length * failureMemoryFactor);
      this.failure = { ...this.failure, body: this.failure.body + text };
    } else this.relay.emitBytes(text, this.hasEvents);
  }

  load(load: ReportedLoad): void {
    this.onLoad(load);
  }

  /** Sends the remaining bytes to the caller; the outcome is `lost` if the response is cut off or cannot be used. */
  finish(ended: BackendOutcome): BackendOutcome {
    if (this.relay.isAbandoned && ended.kind === 'lost') return { ...ended, abandoned: true };
    if (ended.kind !== 'done') return ended;
    if (this.stop.signal.aborted)
      return { kind: 'lost', text: 'the caller disconnected, or the stream could not be resumed' };
    if (this.failure) this.emitFailure(this.failure.head, this.failure.body);
    else if (this.hasEvents) {
      const { events } = this.relay;
      if (events.endsWithinEvent) return { kind: 'lost', text: 'the stream ended within an event' };
      if (events.trailingBytes !== '') this.relay.emitText(events.trailingBytes);
    }
    return { ...ended, code: this.status };
  }

  private emitFailure(head: ResponseHead, body: string): void {
    this.relay.emitHead(head);
    if (body !== '') this.relay.emitText(body);
  }
}
