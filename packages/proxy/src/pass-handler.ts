/**
 * Serves pass routes: a request with an operation key or a program goes to the owner of its slot, any other one
 * directly to a server, and the server's response is returned unchanged. It keeps no state beyond one request.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  opKeyOf,
  passRoutePath,
  refused,
  streamSlotKey,
  type CallOutcome,
  type EmitChunk,
  type PassRequest,
} from '@tillerstair/session-owner';
import {
  arrivalTimeOf,
  BodyTooLargeError,
  toRpcError,
  UnavailableError,
  UnsentBytes,
} from '@tillerstair/wire';
import type { Dialect } from './dialect.js';
import type { Front } from './front.js';
import { callerSignal } from './http-answers.js';
import { sendPassOutcome, sendRefusal, StreamWriter, type Refusal } from './pass-answer.js';
import { readPassRequest } from './pass-request.js';
import { RequestMemory, type RequestReservation } from './request-memory.js';
import {
  badGateway,
  badRequest,
  contentTooLarge,
  notFound,
  serviceUnavailable,
} from './status-codes.js';

/** `Retry-After` of a failure that has no delay of its own, in seconds. */
const defaultRetryAfterS = 0.5;
/** Heartbeats after which a front without a lease has a new one or is out of its platform's list. */
const leaseRetryHeartbeats = 2;
const millisecondsPerSecond = 1000;

/** Forwards a request to the owner of its slot, or runs it on this front. Throws `not-ready` without a read lease. */
export const routePassRequest = async (
  front: Front,
  request: PassRequest,
  emit: EmitChunk,
  signal: AbortSignal,
): Promise<CallOutcome> => {
  front.owner.requireLease();
  const route = front.owner.findRoute('pass', passRoutePath(request));
  if (!route?.pass)
    return refused(
      notFound,
      'no-route',
      `no route matches host ${request.host}, path ${request.path}`,
    );
  const { manner, deadlineMs } = route.pass;
  const body = { ...request, left: Math.min(request.left, deadlineMs) };
  if (manner === 'stream') {
    const slotKey = streamSlotKey(body, route);
    if (slotKey === '') return front.serveLocally(body, true, emit, signal);
    return front.forward(
      { kind: 'front/stream', slotKey, body, timeoutMs: body.left },
      emit,
      signal,
    );
  }
  if (manner !== 'keyed') return front.serveLocally(body, false, emit, signal);
  // A keyed operation continues if its client disconnects: another attempt with the same key gets the response.
  return front.forward(
    {
      kind: 'front/keyed',
      slotKey: opKeyOf(request.tenant, request.key),
      body,
      timeoutMs: body.left,
    },
    emit,
    new AbortController().signal,
  );
};

/** Handles one HTTP request of a client; never rejects. */
export type PassHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

const isNotReady = (error: unknown): error is UnavailableError =>
  error instanceof UnavailableError && error.code === 'not-ready';

/** The error response for a failure in this front; `mayBeForwarded` is true if the request may have been forwarded. */
const refusalOfFailure = (front: Front, error: unknown, mayBeForwarded: boolean): Refusal => {
  if (error instanceof BodyTooLargeError)
    return {
      status: contentTooLarge,
      errorCode: 'body-too-large',
      text: error.message,
      mayHaveRun: false,
    };
  if (isNotReady(error))
    return {
      status: serviceUnavailable,
      errorCode: error.code,
      text: error.message,
      mayHaveRun: false,
      retryAfter: (front.bounds.heartbeatInterval * leaseRetryHeartbeats) / millisecondsPerSecond,
    };
  const { code, message, executed } = toRpcError(error);
  return mayBeForwarded && executed !== 'no'
    ? { status: badGateway, errorCode: code, text: message, mayHaveRun: true }
    : {
        status: serviceUnavailable,
        errorCode: code,
        text: message,
        mayHaveRun: false,
        retryAfter: defaultRetryAfterS,
      };
};

/** Logs that a stream whose response has begun was broken off. */
const logIfTruncated = (
  front: Front,
  { attempt }: PassRequest,
  { outcome, errorCode = '', text = '' }: CallOutcome,
): void => {
  if (outcome !== 'done') front.logTruncatedAnswer(attempt, `${errorCode} ${text}`);
};

/** Memory of requests under way and of answers that wait for their clients; no limits by default. */
export interface PassMemory {
  readonly requests?: RequestMemory;
  readonly unsent?: UnsentBytes;
}

/** Creates the handler of pass routes with the header names of `dialect`; `maxBodyBytes` returns the current limit. */
export const createPassHandler = (
  front: Front,
  dialect: Dialect,
  maxBodyBytes: () => number,
  { requests = new RequestMemory(), unsent = new UnsentBytes() }: PassMemory = {},
): PassHandler => {
  return async (req, res) => {
    const arrivedAt = arrivalTimeOf(req) ?? front.clock.now();
    const signal = callerSignal(res);
    let mayBeForwarded = false;
    let reservation: RequestReservation | undefined;
    const refuseIncomplete = (error: unknown): void => {
      res.shouldKeepAlive = false;
      sendRefusal(res, refusalOfFailure(front, error, false));
    };
    try {
      const elapsedMs = (): number => front.clock.now() - arrivedAt;
      const reserved = requests.reserve(req, refuseIncomplete);
      reservation = reserved;
      const onBytes = (bytes: number): void => reserved.addBody(bytes);
      const request = await readPassRequest(req, dialect, maxBodyBytes(), elapsedMs, onBytes);
      reserved.requireHeld();
      if (request.attempt === '') {
        const text = `header ${dialect.attempt}, the id of the attempt, is missing`;
        sendRefusal(res, { status: badRequest, errorCode: 'no-try', text, mayHaveRun: false });
        return;
      }
      const stream = new StreamWriter(res, unsent);
      mayBeForwarded = true;
      const outcome = await routePassRequest(front, request, stream.emit, signal);
      stream.finish(outcome);
      if (res.headersSent && !signal.aborted) logIfTruncated(front, request, outcome);
      sendPassOutcome(res, outcome, unsent);
    } catch (error) {
      const refusal = refusalOfFailure(front, error, mayBeForwarded);
      // The rest of a body that was refused is not read.
      if (!req.complete) res.shouldKeepAlive = false;
      if (res.headersSent && !(error instanceof BodyTooLargeError) && !isNotReady(error))
        res.destroy();
      else sendRefusal(res, refusal);
    } finally {
      reservation?.release();
    }
  };
};
