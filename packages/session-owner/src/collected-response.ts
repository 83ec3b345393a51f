import { UnavailableError, type BudgetUse } from '@tillerstair/wire';
import type { BackendOutcome, ReportedLoad, ResponseHead, ResponseSink } from './backend.js';
import { encodeBody } from './messages.js';

/** A server's response, buffered so that it can be stored and returned as one body. */
export class CollectedResponse implements ResponseSink {
  private received: ResponseHead = { status: 0, headers: [] };
  private readonly parts: Buffer[] = [];
  private abandoned = false;

  /**
   * @param use - the memory that the request takes for its answer; what an earlier response took is given back
   * @param memoryFactor - memory of the answer in relation to its bytes
   */
  constructor(
    private readonly use: BudgetUse,
    private readonly memoryFactor: number,
    private readonly onLoad: (load: ReportedLoad) => void,
  ) {
    use.shrinkTo(0);
  }

  head(head: ResponseHead): void {
    this.received = head;
  }

  /** Throws if the memory for answers is in use, which ends the response as lost. */
  bytes(text: string): void {
    this.abandoned = !this.use.take(text.length * this.memoryFactor);
    if (this.abandoned)
      throw new UnavailableError('memory-full', 'the memory for answers is in use', 'unknown');
    this.parts.push(Buffer.from(text, 'latin1'));
  }

  load(load: ReportedLoad): void {
    this.onLoad(load);
  }

  /** The outcome of the request; a `done` outcome gets the buffered response, in base64, as its body. */
  finish(ended: BackendOutcome): BackendOutcome {
    if (ended.kind !== 'done') this.use.shrinkTo(0);
    if (this.abandoned && ended.kind === 'lost') return { ...ended, abandoned: true };
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
