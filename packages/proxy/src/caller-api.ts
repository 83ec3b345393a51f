/**
 * The product's HTTP API for callers under `/v1` (`docs/callers.md`): programs, turns, calls, and this front's view of
 * the cluster. It keeps no state; each request is forwarded to the owner of its program or operation key.
 */
import { randomBytes } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { rootProgramId } from '@tillerstair/state';
import { opKeyOf, type CallOutcome } from '@tillerstair/session-owner';
import {
  readJsonText,
  sendJson,
  UnavailableError,
  UnsentBytes,
  type HttpHandler,
} from '@tillerstair/wire';
import type { Front } from './front.js';
import {
  callerSignal,
  operationKey,
  parseJsonBody,
  randomId,
  requestHeader,
  requestIdOf,
  sendOutcome,
  sendRefused,
} from './http-answers.js';
import type { PassHandler } from './pass-handler.js';
import { badRequest, notFound, ok, serviceUnavailable } from './status-codes.js';

const NewProgram = z.strictObject({
  budget: z.number().int().min(1).optional(),
  parent: z.string().optional(),
});
const NewTurn = z.strictObject({
  after: z.string().nullish(),
  path: z.string().default('/chat'),
  words: z.string().min(1),
  maxTokens: z.number().int().min(1).optional(),
});

/** Timeout of a turn or call, in ms. */
const runTimeoutMs = 120000;
/** Timeout for creating or reading a program, in heartbeats. */
const lookupHeartbeats = 5;
const maxKeyLength = 200;
/** Random program ids tried until one hashes to a slot of this front; the last one is used whoever owns its slot. */
const maxProgramIdAttempts = 200;
const programIdBytes = 8;
const childIdBytes = 6;
const defaultTenant = 'default';
const retryAfterS = 1;

const notReady = (errorCode: string, text: string): CallOutcome => ({
  outcome: 'refused',
  status: serviceUnavailable,
  errorCode,
  text,
  retryAfter: retryAfterS,
});

const slotKeyOfProgram = (programId: string): string => `p/${rootProgramId(programId)}`;
const ignoreChunk = (): void => undefined;

/** An HTTP request, its response, and the caller's tenant. */
interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly tenant: string;
}

/** The `/v1` endpoints of one front. `maxBodyBytes` limits request bodies, in bytes. */
class CallerApi {
  constructor(
    private readonly front: Front,
    private readonly maxBodyBytes: number,
    private readonly unsent: UnsentBytes,
  ) {}

  /** Answers a request whose path is split at its slashes; resolves with false if no endpoint matches. */
  async handle(exchange: Exchange, path: readonly string[]): Promise<boolean> {
    const [version, section = '', ...rest] = path;
    if (version !== 'v1') return false;
    switch (section) {
      case 'programs':
        return this.handlePrograms(exchange, rest);
      case 'calls':
        if (exchange.req.method !== 'POST' || rest.length === 0) return false;
        await this.runCall(exchange, `/${rest.join('/')}`);
        return true;
      case 'view':
        sendJson(exchange.res, ok, this.front.nodeView());
        return true;
      case 'sizes':
        sendJson(exchange.res, ok, {
          ...this.front.owner.sizes(),
          memory: process.memoryUsage().rss,
        });
        return true;
      default:
        return false;
    }
  }

  private async handlePrograms(exchange: Exchange, path: readonly string[]): Promise<boolean> {
    const [programId, turns, turnId] = [path.at(0), path.at(1), path.at(2)];
    const { method } = exchange.req;
    if (method === 'POST' && programId === undefined) {
      await this.createProgram(exchange);
      return true;
    }
    if (programId === undefined) return false;
    if (method === 'POST' && turns === 'turns' && turnId === undefined) {
      await this.runTurn(exchange, programId);
      return true;
    }
    const isRead = turns === undefined || (turns === 'turns' && turnId !== undefined);
    if (method !== 'GET' || !isRead) return false;
    await this.readHistory(exchange, programId, turnId);
    return true;
  }

  private get lookupTimeoutMs(): number {
    return this.front.bounds.heartbeatInterval * lookupHeartbeats;
  }

  /** A new program id whose slot this front owns if possible, so that the program's turns need no forwarding. */
  private newProgramId(): string {
    const { front } = this;
    for (let attempt = 0; ; attempt++) {
      const id = `p-${randomBytes(programIdBytes).toString('hex')}`;
      const slot = front.owner.slotFor(slotKeyOfProgram(id));
      if (attempt >= maxProgramIdAttempts || front.owner.ownerOf(slot) === front.id) return id;
    }
  }

  private async createProgram({ req, res, tenant }: Exchange): Promise<void> {
    const body = parseJsonBody(NewProgram, await readJsonText(req, this.maxBodyBytes), res);
    if (!body) return;
    this.front.owner.requireLease();
    const programId =
      body.parent === undefined
        ? this.newProgramId()
        : `${rootProgramId(body.parent)}~${randomBytes(childIdBytes).toString('hex')}`;
    const outcome = await this.front.forward(
      {
        kind: 'front/program',
        slotKey: slotKeyOfProgram(programId),
        body: { tenant, pid: programId, ...body },
        timeoutMs: this.lookupTimeoutMs,
      },
      ignoreChunk,
      callerSignal(res),
    );
    sendOutcome(res, outcome);
  }

  private async runTurn({ req, res, tenant }: Exchange, programId: string): Promise<void> {
    const body = parseJsonBody(NewTurn, await readJsonText(req, this.maxBodyBytes), res);
    if (!body) return;
    const turn = {
      tenant,
      pid: programId,
      ...body,
      after: body.after ?? null,
      key: operationKey(req) || randomId('k'),
      requestId: requestIdOf(req),
    };
    const startResponse = (): void => {
      if (!res.headersSent) res.writeHead(ok, { 'content-type': 'application/x-ndjson' });
    };
    const emit = (index: number, text: string): void => {
      startResponse();
      res.write(`${JSON.stringify({ n: index, text })}\n`);
      this.unsent.wrote(res);
    };
    const outcome = await this.front.forward(
      {
        kind: 'front/turn',
        slotKey: slotKeyOfProgram(programId),
        body: turn,
        timeoutMs: runTimeoutMs,
      },
      emit,
      callerSignal(res),
    );
    if (outcome.outcome === 'done') {
      startResponse();
      res.end(`${JSON.stringify(outcome.body)}\n`);
      return;
    }
    if (!res.headersSent) {
      sendOutcome(res, outcome);
      return;
    }
    const { errorCode, text } = outcome;
    res.end(`${JSON.stringify({ partial: true, executed: 'unknown', errorCode, text })}\n`);
  }

  private async readHistory(
    { res, tenant }: Exchange,
    programId: string,
    turnId: string | undefined,
  ): Promise<void> {
    const outcome = await this.front.forward(
      {
        kind: 'front/history',
        slotKey: slotKeyOfProgram(programId),
        body: { tenant, pid: programId, ...(turnId === undefined ? {} : { turn: turnId }) },
        timeoutMs: this.lookupTimeoutMs,
      },
      ignoreChunk,
      callerSignal(res),
    );
    sendOutcome(res, outcome);
  }

  private async runCall({ req, res, tenant }: Exchange, path: string): Promise<void> {
    const body = await readJsonText(req, this.maxBodyBytes);
    if (parseJsonBody(z.unknown(), body, res) === undefined && res.headersSent) return;
    const key = operationKey(req);
    if (key.length > maxKeyLength) {
      const text = `Operation-Key is longer than ${maxKeyLength} characters`;
      sendRefused(res, badRequest, 'bad-key', text);
      return;
    }
    const call = { tenant, path, key, body, requestId: requestIdOf(req) };
    if (key === '') {
      this.front.owner.requireLease();
      sendOutcome(res, await this.front.owner.calls.runCall(call, callerSignal(res)));
      return;
    }
    const outcome = await this.front.forward(
      {
        kind: 'front/call',
        slotKey: opKeyOf(tenant, key),
        body: call,
        timeoutMs: runTimeoutMs,
      },
      ignoreChunk,
      callerSignal(res),
    );
    sendOutcome(res, outcome);
  }
}

/**
 * Creates the HTTP handler of a front. Requests outside `/v1/` go to `passHandler` if one is given.
 *
 * @param maxBodyBytes - size limit of request bodies under `/v1/`, in bytes
 * @param unsent - the answers of this front that wait for their clients
 */
export const createCallerApi = (
  front: Front,
  maxBodyBytes: number,
  passHandler?: PassHandler,
  unsent = new UnsentBytes(),
): HttpHandler => {
  const api = new CallerApi(front, maxBodyBytes, unsent);
  return async (req, res, url) => {
    if (passHandler && !url.pathname.startsWith('/v1/')) return passHandler(req, res);
    if (front.stopping) {
      sendOutcome(res, notReady('stopping', `front ${front.id} is stopping`));
      return;
    }
    const tenant = requestHeader(req, 'x-tenant') || defaultTenant;
    const path = url.pathname.split('/').slice(1).map(decodeURIComponent);
    try {
      const answered = await api.handle({ req, res, tenant }, path);
      if (!answered) sendRefused(res, notFound, 'no-such-page', url.pathname);
    } catch (error) {
      if (!(error instanceof UnavailableError) || error.code !== 'not-ready') throw error;
      sendOutcome(res, notReady(error.code, error.message));
    }
  };
};
