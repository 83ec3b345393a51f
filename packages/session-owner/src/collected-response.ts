import type { BackendOutcome, ReportedLoad, ResponseHead, ResponseSink } from './backend.js';
import { encodeBody } from './messages.js';

/** A server's response, buffered so that it can be stored and returned as one body. */
export class CollectedResponse implements ResponseSink {
  private received: ResponseHead = { status: 0, headers: [] };
  private readonly parts: Buffer[] = [];

  constructor(private readonly onLoad: (load: ReportedLoad) => void) {}

  head(head: ResponseHead): void {
    this.received = head;
  }

  bytes(text: string): void {
    this.parts.push(Buffer.from(text, 'latin1'));
  }

  load(load: ReportedLoad): void {
    this.onLoad(load);
  }

  /** The outcome of the request; a `done` outcome gets the buffered response, in base64, as its body. */
  finish(ended: BackendOutcome): BackendOutcome {
    if (ended.kind !== 'done') return ended;
    const { status: code, headers, untilClose } = this.received;
    const body = {
      status: code,
      headers: [...headers],
      ...(untilClose ? { untilClose } : {}),
      body: encodeBody(Buffer.concat(this.parts)),
    };
    return { kind: 'done', code, body };
  }
}
