/** Stand-in server of pass routes: sends event streams or whole bodies at a configured rate and logs its executions. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { hostClock, delay, readBytes, sendJson, serveHttp } from '@tillerstair/wire';
import { attemptIdOf, type ExecutionLog } from './execution-log.js';
import type { KeyTable } from './key-table.js';

/** Options of a pass server. */
export interface PassServerOptions {
  readonly id: string;
  readonly pool: string;
  /** IP:PORT to listen on. */
  readonly addr: string;
  /** Delay before a body that is not streamed is sent, in ms. */
  readonly bodyMs: number;
  /** Interval between two events of a stream, in ms. */
  readonly eventMs: number;
  /** Minimum number of events of a stream. */
  readonly fewestEvents: number;
  /** Maximum number of events of a stream beyond `fewestEvents`. */
  readonly eventRange: number;
  /** The record of keys that this server shares with the others of its service; without one, it records no keys. */
  readonly keyTable?: KeyTable;
  /** How the answers to requests that are not streamed get lost; without it, none does. */
  readonly loss?: AnswerLoss;
}

/** Which answers of a server get lost after their run has ended whole, and what the caller sees instead. */
export interface AnswerLoss {
  /** The answer to every n-th request is lost. */
  readonly every: number;
  /** The connection is reset, or stays open without an answer. */
  readonly how: 'reset' | 'silence';
}

const maxRequestBytes = 1 << 20;
const ok = 200;
const conflict = 409;

const headerOf = (request: IncomingMessage, name: string): string => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
};

/** A server whose replies contain its id and the request number, so that each reply is unique. */
export class PassServer {
  private http: Server | undefined;
  private busy = 0;
  private requestCount = 0;

  /** Executions are logged with times of the monotonic clock, in ms. */
  constructor(
    readonly options: PassServerOptions,
    private readonly log: ExecutionLog,
  ) {}

  /** Starts the server; resolves once it listens. */
  async start(): Promise<void> {
    this.http = await serveHttp(this.options.addr, async (request, response, url) => {
      if (url.pathname === '/load') sendJson(response, 200, { busy: this.busy, draining: false });
      else await this.execute(request, response);
    });
  }

  /** Closes all connections, including those with requests in flight, without waiting for the port to be free. */
  stop(): void {
    this.http?.closeAllConnections();
    this.http?.close();
  }

  private async execute(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const said = (await readBytes(request, maxRequestBytes)).toString('latin1');
    const began = hostClock.now();
    const attempt = attemptIdOf(request);
    const isStream = headerOf(request, 'x-tokens') !== '';
    const key = headerOf(request, 'operation-key');
    response.setHeader('X-Request-Id', attempt);
    if (this.answerFromTable(key, response)) return;
    const requestNumber = ++this.requestCount;
    const table = key === '' ? undefined : this.options.keyTable;
    table?.begin(key);
    this.busy++;
    let reply = '';
    let complete = false;
    try {
      reply = isStream
        ? await this.streamEvents(response, requestNumber)
        : await this.makeBody(requestNumber);
      complete = !response.destroyed;
    } finally {
      this.busy--;
      table?.end(key, complete ? reply : undefined);
      const { id, pool } = this.options;
      this.log.add({
        kind: 'pass',
        server: id,
        pool,
        id: attempt,
        key,
        attempt,
        program: headerOf(request, 'x-program'),
        began,
        at: hostClock.now(),
        said,
        reply,
        complete,
        tokens: 0,
        cached: 0,
        prompt: 0,
      });
    }
    if (!isStream) this.sendBody(response, reply);
  }

  /** Answers a request whose key the service runs or has run; false if it is to be run. */
  private answerFromTable(key: string, response: ServerResponse): boolean {
    const entry = key === '' ? undefined : this.options.keyTable?.get(key);
    if (!entry) return false;
    if (entry.state === 'running') response.writeHead(conflict, { 'x-not-run': '1' }).end();
    else response.writeHead(ok).end(entry.reply);
    return true;
  }

  private async streamEvents(response: ServerResponse, requestNumber: number): Promise<string> {
    const { id, eventMs, fewestEvents, eventRange } = this.options;
    response.setHeader('Content-Type', 'text/event-stream');
    const eventCount = fewestEvents + (requestNumber % (eventRange + 1));
    let reply = '';
    for (let eventId = 0; eventId < eventCount && !response.destroyed; eventId++) {
      await delay(hostClock, eventMs);
      const event = `id: ${eventId}\ndata: ${id}.${requestNumber}.${eventId}\n\n`;
      response.write(event);
      reply += event;
    }
    if (!response.destroyed) response.end();
    return reply;
  }

  private async makeBody(requestNumber: number): Promise<string> {
    const { id, bodyMs } = this.options;
    await delay(hostClock, bodyMs);
    return `${id}.${requestNumber}`;
  }

  /** Sends the answer to a request that has run, or loses it. */
  private sendBody(response: ServerResponse, reply: string): void {
    if (response.destroyed) return;
    const { loss } = this.options;
    if (!loss || this.requestCount % loss.every !== 0) response.end(reply);
    else if (loss.how === 'reset') response.socket?.resetAndDestroy();
  }
}
