/**
 * Sends requests to servers over HTTP/1.1 and says how each one ended. Owns the connections to all servers. A request
 * is written at most once: whether it may have run follows from the mark of its `SendGuard`, not from an error's code.
 */
import { errors, request, type Agent, type Dispatcher } from 'undici';
import type { Server } from '@tillerstair/state';
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
import { internalServerError, ok, tooManyRequests } from './status-codes.js';
import { readTurnStream } from './turn-stream.js';

const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/** What became of a request that failed. One that the HTTP client cannot put into words says nothing of its server. */
const outcomeOfFailure = (error: unknown, guard: SendGuard): BackendOutcome => {
  if (guard.mayHaveBeenSent) return { kind: 'lost', text: messageOf(error) };
  const withdrawn =
    error instanceof RequestWithdrawnError || error instanceof errors.InvalidArgumentError;
  return { kind: withdrawn ? 'declined' : 'never-left', text: messageOf(error) };
};

/** The outcome of a status that is no result: declined only if the server's own body promises it. */
const outcomeOfStatus = (status: number, body: unknown): BackendOutcome =>
  NotExecuted.safeParse(body).success
    ? { kind: 'declined', text: `server declined with ${status}` }
    : { kind: 'lost', text: `server failed with ${status}` };

/** Aborts when the caller leaves or after `timeoutMs`. */
const stopSignal = (caller: AbortSignal, timeoutMs: number): AbortSignal =>
  AbortSignal.any([caller, AbortSignal.timeout(Math.ceil(timeoutMs))]);

/** Servers as the session owner sees them, over HTTP/1.1. */
export class HttpBackend implements Backend {
  private readonly agent: Agent;

  /** `dialect` names the headers of pass routes. */
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

  /** Forwards a request unchanged, with the time that is left and the server that is meant. */
  // eslint-disable-next-line @typescript-eslint/max-params -- the signature is that of `Backend`
  async pass(
    server: Server,
    forwarded: ForwardedRequest,
    sink: ResponseSink,
    signal: AbortSignal,
    timeoutMs: number,
    mayStillRun: () => boolean,
  ): Promise<BackendOutcome> {
    if (timeoutMs <= 0) return { kind: 'declined', text: 'the time is over' };
    const stop = stopSignal(signal, timeoutMs);
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
      // Nothing more of this connection can be trusted.
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

  /** Ends all connections; requests that run are lost. */
  close(): Promise<void> {
    return this.agent.destroy();
  }

  /** Runs a turn at a model server. */
  // eslint-disable-next-line @typescript-eslint/max-params -- the signature is that of `Backend`
  async generate(
    server: Server,
    turn: GenerateRequest,
    onChunk: (index: number, text: string) => void,
    signal: AbortSignal,
    timeoutMs: number,
    mayStillRun: () => boolean,
  ): Promise<BackendOutcome> {
    const stop = stopSignal(signal, timeoutMs);
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
    }
  }

  /** Runs a tool call at a service. */
  async act(
    server: Server,
    call: ToolCallRequest,
    signal: AbortSignal,
    timeoutMs: number,
    mayStillRun: () => boolean,
  ): Promise<BackendOutcome> {
    const stop = stopSignal(signal, timeoutMs);
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
      const answer: unknown = await response.body.json();
      const { statusCode } = response;
      if (statusCode >= internalServerError || statusCode === tooManyRequests)
        return outcomeOfStatus(statusCode, answer);
      const result = ActResponse.safeParse(answer);
      if (!result.success || result.data.id !== id)
        return { kind: 'lost', text: 'the server answered another request' };
      return { kind: 'done', code: statusCode, body: result.data.result };
    } catch (error) {
      return outcomeOfFailure(error, guard);
    }
  }

  /** Asks a server for its load. */
  async load(server: Server, timeoutMs: number): Promise<ServerStatus> {
    const response = await request(`${server.url}/load`, {
      dispatcher: this.agent,
      signal: AbortSignal.timeout(Math.ceil(timeoutMs)),
    });
    return LoadResponse.parse(await response.body.json());
  }
}
