import type { BackendOutcome, ReportedLoad, ResponseHead, ResponseSink } from './backend.js';
import type { StreamRelay } from './stream-relay.js';

const ok = 200;

/** Whether a status says that the request succeeded. */
export const isSuccess = (status: number): boolean => status >= 200 && status < 300;

const isEventStream = (head: ResponseHead): boolean =>
  head.headers.some(
    ([name, value]) => name.toLowerCase() === 'content-type' && value.includes('event-stream'),
  );

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
  get abortSignal(): AbortSignal {
    return this.stop.signal;
  }

  /** The caller is gone: nothing more is passed on. */
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
      if (events.trailingBytes !== '') this.relay.emitText(events.trailingBytes);
    }
    return { ...ended, code: this.status };
  }

  private emitFailure(head: ResponseHead, body: string): void {
    this.relay.emitHead(head);
    if (body !== '') this.relay.emitText(body);
  }
}
