/**
 * Serves pass routes: a client's request goes to the owner of its key or program if it has one, else straight to a
 * server, and its answer comes back as it was. It keeps no state beyond one request.
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
import { BodyTooLargeError, toRpcError, UnavailableError } from '@tillerstair/wire';
import type { Dialect } from './dialect.js';
import type { Front } from './front.js';
import { callerSignal } from './http-answers.js';
import { sendPassOutcome, sendRefusal, StreamWriter, type Refusal } from './pass-answer.js';
import { readPassRequest } from './pass-request.js';
import {
  badGateway,
  badRequest,
  contentTooLarge,
  notFound,
  serviceUnavailable,
} from './status-codes.js';

/** When a client may come back after a failure of the front that says nothing of its own, in seconds. */
const defaultRetryAfterS = 0.5;
/** A front without a lease is back, or out of its platform's list, after so many heartbeats. */
const leaseRetryHeartbeats = 2;
const millisecondsPerSecond = 1000;

/** Routes a request to the owner of its slot, or serves it here. Throws `not-ready` without a read lease. */
export const routePassRequest = async (
  front: Front,
  request: PassRequest,
  emit: EmitChunk,
  signal: AbortSignal,
): Promise<CallOutcome> => {
  front.owner.requireLease();
  const route = front.owner.findRoute('pass', passRoutePath(request));
  if (!route?.pass) return refused(notFound, 'no-route', 'no route takes this host and path');
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
  // A keyed operation goes on though its client leaves: another attempt with the key gets its answer.
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

/** Answers one request of a client; never rejects. */
export type PassHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;

const isNotReady = (error: unknown): error is UnavailableError =>
  error instanceof UnavailableError && error.code === 'not-ready';

/** What a client is told of a failure of this front; `passedOn` says whether its request may have left it. */
const refusalOfFailure = (front: Front, error: unknown, passedOn: boolean): Refusal => {
  if (error instanceof BodyTooLargeError)
    return { status: contentTooLarge, errorCode: 'body-too-large', text: error.message };
  if (isNotReady(error))
    return {
      status: serviceUnavailable,
      errorCode: error.code,
      text: error.message,
      retryAfter: (front.bounds.heartbeatInterval * leaseRetryHeartbeats) / millisecondsPerSecond,
    };
  const { code, message, executed } = toRpcError(error);
  return passedOn && executed !== 'no'
    ? { status: badGateway, errorCode: code, text: message }
    : {
        status: serviceUnavailable,
        errorCode: code,
        text: message,
        retryAfter: defaultRetryAfterS,
      };
};

/** Makes the handler of pass routes, in the words of `dialect`; `maxBodyBytes` gives the limit in force. */
export const createPassHandler =
  (front: Front, dialect: Dialect, maxBodyBytes: () => number): PassHandler =>
  async (req, res) => {
    const arrivedAt = front.clock.now();
    const signal = callerSignal(res);
    let passedOn = false;
    try {
      const elapsedMs = (): number => front.clock.now() - arrivedAt;
      const request = await readPassRequest(req, dialect, maxBodyBytes(), elapsedMs);
      if (request.attempt === '') {
        const text = `a request names its attempt in ${dialect.attempt}`;
        sendRefusal(res, { status: badRequest, errorCode: 'no-try', text });
        return;
      }
      const stream = new StreamWriter(res);
      passedOn = true;
      const outcome = await routePassRequest(front, request, stream.emit, signal);
      stream.finish(outcome);
      if (outcome.outcome !== 'done' && res.headersSent && !signal.aborted)
        front.logTruncatedAnswer(
          request.attempt,
          `${outcome.errorCode ?? ''} ${outcome.text ?? ''}`,
        );
      sendPassOutcome(res, outcome);
    } catch (error) {
      const refusal = refusalOfFailure(front, error, passedOn);
      if (res.headersSent && !(error instanceof BodyTooLargeError) && !isNotReady(error))
        res.destroy();
      else sendRefusal(res, refusal);
    }
  };
