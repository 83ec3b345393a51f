/**
 * Sends requests to servers over HTTP/1.1 and reports the outcome of each. Owns the connections to all servers. A
 * request is written at most once: whether it may have run follows from the mark of its `SendGuard`, not from an
 * error's code.
 */
import { errors, request, type Agent, type Dispatcher } from 'undici';
import type { Server } from '@tillerstair/state';
import { hostClock } from '@tillerstair/wire';
import type {
  Backend,
  BackendOutcome,
  ForwardedRequest,
  GenerateRequest,
  Header,
  ResponseSink,
  ServerStatus,
  ToolCallRequest,
} from '@tillerstair/session-owner';
import { productDialect, type Dialect } from './dialect.js';
import { endToEndHeaders, headerPairs, headerValue, isFramed } from './headers.js';
import { rejectedResponse } from './pass-response.js';
import { RequestWithdrawnError, SendGuard } from './send-guard.js';
import { createServerAgent, type ConnectionLimits } from './server-agent.js';
import { ActResponse, LoadResponse, NotExecuted, parseLoad } from './server-messages.js';
import { conflict, internalServerError, ok, tooManyRequests } from './status-codes.js';
import { readTurnStream } from './turn-stream.js';

const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/**
 * The outcome of a request that failed. One that the HTTP client rejects as invalid counts as declined, since that
 * failure says nothing about the server.
 */
const outcomeOfFailure = (error: unknown, guard: SendGuard): BackendOutcome => {
  if (guard.mayHaveBeenSent) return { kind: 'lost', text: messageOf(error) };
  const withdrawn =
    error instanceof RequestWithdrawnError || error instanceof errors.InvalidArgumentError;
  return { kind: withdrawn ? 'declined' : 'never-left', text: messageOf(error) };
};

/**
 * The outcome for an error status: declined only if the response body guarantees that the request was not run; a 409
 * then means that a request with the same idempotency key is running.
 */
const outcomeOfStatus = (status: number, body: unknown): BackendOutcome =>
  NotExecuted.safeParse(body).success
    ? {
        kind: 'declined',
        text: `server declined with ${status}`,
        ...(status === conflict ? { keyInProgress: true } : {}),
      }
    : { kind: 'lost', text: `server failed with ${status}` };

const isFailure = (status: number, body: unknown): boolean =>
  status >= internalServerError ||
  status === tooManyRequests ||
  (status === conflict && NotExecuted.safeParse(body).success);

/** A signal that aborts when the caller disconnects or after a time limit; `release` ends its timer. */
interface StopSignal {
  readonly signal: AbortSignal;
  readonly release: () => void;
}

/**
 * Creates the signal by hand: on Node 20 a signal of `AbortSignal.timeout` to which only `AbortSignal.any` refers may be
 * garbage collected, and then never aborts.
 */
const stopSignal = (caller: AbortSignal, timeoutMs: number): StopSignal => {
  const controller = new AbortController();
  const onAbort = (): void => controller.abort(caller.reason);
  const timer = hostClock.after(Math.ceil(timeoutMs), () =>
    controller.abort(new Error('the time limit of the request has expired')),
  );
  if (caller.aborted) onAbort();
  else caller.addEventListener('abort', onAbort, { once: true });
  const release = (): void => {
    timer.stop();
    caller.removeEventListener('abort', onAbort);
  };
  return { signal: controller.signal, release };
};

/** The session owner's client of servers, over HTTP/1.1. */
export class HttpBackend implements Backend {
  private readonly agent: Agent;

  /** `dialect` holds the header names on pass routes. */
  constructor(
    limits: ConnectionLimits,
    private readonly dialect: Dialect = productDialect,
  ) {
    this.agent = createServerAgent(limits);
  }

  private send(
    server: Server,
    options: Omit<Dispatcher.RequestOptions, 'origin'>,
    guard: SendGuard,
  ): Promise<Dispatcher.ResponseData> {
    return guard.rejectWhileQueued(
      this.agent.compose(guard.interceptor).request({ ...options, origin: server.url }),
    );
  }

  private passHeaders(
    server: Server,
    forwarded: ForwardedRequest,
    timeoutMs: number,
  ): readonly Header[] {
    const { remainingTime, expect, resume } = this.dialect;
    const resumed: readonly Header[] = forwarded.resume === '' ? [] : [[resume, forwarded.resume]];
    return [
      ...endToEndHeaders(forwarded.headers),
      [remainingTime, String(Math.max(1, Math.floor(timeoutMs)))],
      [expect, server.id],
      ...resumed,
    ];
  }

  /** Forwards a request unchanged, adding headers for the remaining time and the intended server. */
  // eslint-disable-next-line @typescript-eslint/max-params -- the signature is that of `Backend`
  async pass(
    server: Server,
    forwarded: ForwardedRequest,
    sink: ResponseSink,
    signal: AbortSignal,
    timeoutMs: number,
    mayStillRun: () => boolean,
  ): Promise<BackendOutcome> {
    if (timeoutMs <= 0)
      return { kind: 'declined', text: 'the time limit of the request has expired' };
    const { signal: stop, release } = stopSignal(signal, timeoutMs);
    const guard = new SendGuard(mayStillRun, stop);
    const { method, path, body } = forwarded;
    try {
      const response = await this.send(
        server,
        {
          path,
          method,
          headers: this.passHeaders(server, forwarded, timeoutMs).flat(),
          responseHeaders: 'raw',
          body: body.length === 0 && method === 'GET' ? null : body,
          signal: stop,
          headersTimeout: 0,
          bodyTimeout: 0,
        },
        guard,
      );
      return await this.receivePass(response, forwarded.attempt, sink);
    } catch (error) {
      return outcomeOfFailure(error, guard);
    } finally {
      release();
    }
  }

  private async receivePass(
    response: Dispatcher.ResponseData,
    attempt: string,
    sink: ResponseSink,
  ): Promise<BackendOutcome> {
    const { statusCode, body } = response;
    const headers = headerPairs(response.headers);
    const load = parseLoad(headerValue(headers, this.dialect.load));
    if (load) sink.load(load);
    const rejected = rejectedResponse(statusCode, headers, attempt, this.dialect);
    if (rejected?.kind === 'declined') {
      void body.dump().catch(() => undefined);
      return rejected;
    }
    if (rejected) {
      // The connection may be out of step with its requests, so it is closed instead of being reused.
      body.on('error', () => undefined).destroy();
      return rejected;
    }
    sink.head({
      status: statusCode,
      headers: endToEndHeaders(headers),
      ...(isFramed(statusCode, headers) ? {} : { untilClose: true }),
    });
    for await (const part of body)
      sink.bytes(Buffer.isBuffer(part) ? part.toString('latin1') : String(part));
    return { kind: 'done', code: statusCode, body: null };
  }

  /** Closes all connections; requests in flight end as lost. */
  close(): Promise<void> {
    return this.agent.destroy();
  }

  /** Runs a turn on a model server. */
  // eslint-disable-next-line @typescript-eslint/max-params -- the signature is that of `Backend`
  async generate(
    server: Server,
    turn: GenerateRequest,
    onChunk: (index: number, text: string) => void,
    signal: AbortSignal,
    timeoutMs: number,
    mayStillRun: () => boolean,
  ): Promise<BackendOutcome> {
    const { signal: stop, release } = stopSignal(signal, timeoutMs);
    const guard = new SendGuard(mayStillRun, stop);
    const { id, messages, maxTokens, requestId } = turn;
    try {
      const response = await this.send(
        server,
        {
          path: '/v1/generate',
          method: 'POST',
          headers: { 'content-type': 'application/json', 'x-request-id': requestId },
          body: JSON.stringify({ id, messages, maxTokens }),
          signal: stop,
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
        },
        guard,
      );
      if (response.statusCode !== ok) {
        const body: unknown = await response.body.json().catch(() => undefined);
        return outcomeOfStatus(response.statusCode, body);
      }
      return await readTurnStream(response.body, id, onChunk, stop);
    } catch (error) {
      return outcomeOfFailure(error, guard);
    } finally {
      release();
    }
  }

  /** Runs a tool call on a service. */
  async act(
    server: Server,
    call: ToolCallRequest,
    signal: AbortSignal,
    timeoutMs: number,
    mayStillRun: () => boolean,
  ): Promise<BackendOutcome> {
    const { signal: stop, release } = stopSignal(signal, timeoutMs);
    const guard = new SendGuard(mayStillRun, stop);
    const { id, path, body, key, requestId } = call;
    try {
      const response = await this.send(
        server,
        {
          path: '/v1/act',
          method: 'POST',
          headers: {
            'content-type': 'application/json',
            'x-request-id': requestId,
            ...(key ? { 'idempotency-key': key } : {}),
          },
          body: JSON.stringify({ id, path, body }),
          signal: stop,
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
        },
        guard,
      );
      const responseBody: unknown = await response.body.json();
      const { statusCode } = response;
      if (isFailure(statusCode, responseBody)) return outcomeOfStatus(statusCode, responseBody);
      const result = ActResponse.safeParse(responseBody);
      if (!result.success || result.data.id !== id)
        return { kind: 'lost', text: `the server answered another request than ${id}` };
      return { kind: 'done', code: statusCode, body: result.data.result };
    } catch (error) {
      return outcomeOfFailure(error, guard);
    } finally {
      release();
    }
  }

  /** Reads the load of a server from `GET /load`. Rejects on a timeout, a failed connection or an invalid response. */
  async load(server: Server, timeoutMs: number): Promise<ServerStatus> {
    const response = await request(`${server.url}/load`, {
      dispatcher: this.agent,
      signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
    });
    return LoadResponse.parse(await response.body.json());
  }
}
