/** Writes answers to clients of pass routes: a server's complete answer, a stream as it comes, or a refusal. */
import type { ServerResponse } from 'node:http';
import { z } from 'zod';
import {
  decodeBody,
  ForwardedResponse,
  type CallOutcome,
  type EmitChunk,
  type ResponseHead,
} from '@tillerstair/session-owner';
import { badGateway, gatewayTimeout, noContent, notModified } from './status-codes.js';

/** The first chunk of a stream: status and headers of the server's answer. */
const HeadChunk = z.object({
  status: z.number(),
  headers: z.array(z.tuple([z.string(), z.string()])),
  untilClose: z.literal(true).optional(),
});

const millisecondsPerSecond = 1000;

/** Rounds seconds as `Retry-After` carries them, fractions included. */
const retryAfterText = (seconds: number): string =>
  String(Math.round(seconds * millisecondsPerSecond) / millisecondsPerSecond);

/** What a client is told of a request that has no answer of a server; `retryAfter` is in seconds. */
export interface Refusal {
  readonly status: number;
  readonly errorCode: string;
  readonly text: string;
  readonly retryAfter?: number | undefined;
}

/** Sends a refusal, unless an answer has begun. 502 and 504 promise nothing; all else promises that nothing ran. */
export const sendRefusal = (res: ServerResponse, refusal: Refusal): void => {
  if (res.destroyed || res.headersSent) return;
  const { status, errorCode, text, retryAfter } = refusal;
  const executed = status === badGateway || status === gatewayTimeout ? 'unknown' : 'no';
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

/** Has the end of the connection end the answer: neither a length nor a last chunk says that it is complete. */
const endBodyAtConnectionClose = (res: ServerResponse): void => {
  res.useChunkedEncodingByDefault = false;
  res.shouldKeepAlive = false;
};

const sendForwarded = (res: ServerResponse, answer: ForwardedResponse): void => {
  if (res.destroyed || res.headersSent) return;
  const body = decodeBody(answer.body);
  const hasNoBody = answer.status === noContent || answer.status === notModified;
  if (answer.untilClose) endBodyAtConnectionClose(res);
  const hasLength = !hasNoBody && !answer.untilClose;
  const length = hasLength ? [['Content-Length', String(body.length)]] : [];
  res.writeHead(answer.status, [...answer.headers, ...length].flat());
  res.end(body);
};

/** 504 is a server's own word on these routes; what the front does not know is 502. */
const toRefusal = (outcome: CallOutcome): Refusal => ({
  status:
    outcome.outcome === 'done' || outcome.status === gatewayTimeout ? badGateway : outcome.status,
  errorCode: outcome.errorCode ?? 'unknown',
  text: outcome.text ?? '',
  retryAfter: outcome.retryAfter,
});

/** Sends what is still due once a request has ended; a stream that broke off does not end in order. */
export const sendPassOutcome = (res: ServerResponse, outcome: CallOutcome): void => {
  const answer = ForwardedResponse.safeParse(outcome.body);
  if (outcome.outcome === 'done' && answer.success) {
    sendForwarded(res, answer.data);
    return;
  }
  if (!res.headersSent) {
    sendRefusal(res, toRefusal(outcome));
    return;
  }
  if (outcome.outcome === 'done') res.end();
  else res.destroy();
};

/** Writes a stream to its client: chunk 0 is the head, which is sent with the first bytes or at a good end. */
export class StreamWriter {
  private head: ResponseHead | undefined;

  constructor(private readonly res: ServerResponse) {}

  /** Takes a chunk of the stream. */
  readonly emit: EmitChunk = (index, text) => {
    if (index === 0) {
      this.head = HeadChunk.parse(JSON.parse(text));
      return;
    }
    this.sendHead();
    this.res.write(Buffer.from(text, 'latin1'));
  };

  /** Sends the head of a stream without bytes, if it is done. */
  finish(outcome: CallOutcome): void {
    if (outcome.outcome === 'done') this.sendHead();
  }

  private sendHead(): void {
    if (!this.head || this.res.headersSent) return;
    if (this.head.untilClose) endBodyAtConnectionClose(this.res);
    this.res.writeHead(this.head.status, [...this.head.headers].flat());
  }
}
