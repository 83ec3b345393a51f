/** Writes responses to clients of pass routes: a server's complete response, a stream as it arrives, or a refusal. */
import type { ServerResponse } from 'node:http';
import { z } from 'zod';
import type { UnsentBytes } from '@tillerstair/wire';
import {
  decodeBody,
  ForwardedResponse,
  type CallOutcome,
  type EmitChunk,
  type ResponseHead,
} from '@tillerstair/session-owner';
import { badGateway, gatewayTimeout, noContent, notModified } from './status-codes.js';

/** Schema of a stream's first chunk: status and headers of the server's response. */
const HeadChunk = z.object({
  status: z.number(),
  headers: z.array(z.tuple([z.string(), z.string()])),
  untilClose: z.literal(true).optional(),
});

const millisecondsPerSecond = 1000;

/** The value of `Retry-After` for a time in seconds, rounded to milliseconds. */
const retryAfterText = (seconds: number): string =>
  String(Math.round(seconds * millisecondsPerSecond) / millisecondsPerSecond);

/** An error response of the front itself, for a request without a server's response; `retryAfter` is in seconds. */
export interface Refusal {
  readonly status: number;
  readonly errorCode: string;
  readonly text: string;
  readonly retryAfter?: number | undefined;
  /** Whether the request may have run; otherwise the response states that it has not run. */
  readonly mayHaveRun: boolean;
}

/** Sends an error response, unless a response has started. */
export const sendRefusal = (res: ServerResponse, refusal: Refusal): void => {
  if (res.destroyed || res.headersSent) return;
  const { status, errorCode, text, retryAfter, mayHaveRun } = refusal;
  const executed = mayHaveRun ? 'unknown' : 'no';
  const body = JSON.stringify({ executed, errorCode, text });
  const retryHeader = retryAfter === undefined ? [] : [['Retry-After', retryAfterText(retryAfter)]];
  res.writeHead(
    status,
    [
      ['Content-Type', 'application/json'],
      ['Content-Length', String(Buffer.byteLength(body))],
      ...retryHeader,
    ].flat(),
  );
  res.end(body);
};

/** Delimits the response body by the close of the connection: it has neither a length nor a last chunk. */
const endBodyAtConnectionClose = (res: ServerResponse): void => {
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
};

const sendForwarded = (
  res: ServerResponse,
  response: ForwardedResponse,
  unsent: UnsentBytes,
): void => {
  if (res.destroyed || res.headersSent) return;
  const body = decodeBody(response.body);
  const hasNoBody = response.status === noContent || response.status === notModified;
  if (response.untilClose) endBodyAtConnectionClose(res);
  const hasLength = !hasNoBody && !response.untilClose;
  const length = hasLength ? [['Content-Length', String(body.length)]] : [];
  res.writeHead(response.status, [...response.headers, ...length].flat());
  res.end(body);
  unsent.wrote(res);
};

/** Refusal for an outcome without a response. Only servers send 504 on these routes; an unknown outcome becomes 502. */
const toRefusal = (outcome: CallOutcome): Refusal => ({
  status:
    outcome.outcome === 'done' || outcome.status === gatewayTimeout ? badGateway : outcome.status,
  errorCode: outcome.errorCode ?? 'unknown',
  text: outcome.text ?? '',
  retryAfter: outcome.retryAfter,
  mayHaveRun: outcome.outcome !== 'refused',
});

/** Completes the response once a request has ended. A stream that broke off is destroyed: it must not look complete. */
export const sendPassOutcome = (
  res: ServerResponse,
  outcome: CallOutcome,
  unsent: UnsentBytes,
): void => {
  const response = ForwardedResponse.safeParse(outcome.body);
  if (outcome.outcome === 'done' && response.success) {
    sendForwarded(res, response.data, unsent);
    return;
  }
  if (!res.headersSent) {
    sendRefusal(res, toRefusal(outcome));
    return;
  }
  if (outcome.outcome === 'done') res.end();
  else res.destroy();
};

/** Writes a stream to its client. Chunk 0 is the head, sent with the first body bytes or when the stream is done. */
export class StreamWriter {
  private head: ResponseHead | undefined;

  constructor(
    private readonly res: ServerResponse,
    private readonly unsent: UnsentBytes,
  ) {}

  /** Stores the head from chunk 0, and writes each further chunk to the client. */
  readonly emit: EmitChunk = (index, text) => {
    if (index === 0) {
      this.head = HeadChunk.parse(JSON.parse(text));
      return;
    }
    this.sendHead();
    this.res.write(Buffer.from(text, 'latin1'));
    this.unsent.wrote(this.res);
  };

  /** Sends the head of a stream that is done and had no body bytes. */
  finish(outcome: CallOutcome): void {
    if (outcome.outcome === 'done') this.sendHead();
  }

  private sendHead(): void {
    if (!this.head || this.res.headersSent) return;
    if (this.head.untilClose) endBodyAtConnectionClose(this.res);
    this.res.writeHead(this.head.status, [...this.head.headers].flat());
  }
}
