/** Stand-in server of pass routes: sends event streams or whole bodies at a configured rate and logs its executions. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { hostClock, delay, readBytes, sendJson, serveHttp } from '@tillerstair/wire';
import { attemptIdOf, type ExecutionLog } from './execution-log.js';

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
}

const maxRequestBytes = 1 << 20;

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
    const requestNumber = ++this.requestCount;
    const attempt = attemptIdOf(request);
    const isStream = headerOf(request, 'x-tokens') !== '';
    response.setHeader('X-Request-Id', attempt);
    this.busy++;
    let reply = '';
    try {
      reply = isStream
        ? await this.streamEvents(response, requestNumber)
        : await this.sendBody(response, requestNumber);
    } finally {
      this.busy--;
      const { id, pool } = this.options;
      this.log.add({
        kind: 'pass',
        server: id,
        pool,
        id: attempt,
        key: headerOf(request, 'operation-key'),
        attempt,
        program: headerOf(request, 'x-program'),
        began,
        at: hostClock.now(),
        said,
        reply,
        complete: response.writableEnded,
        tokens: 0,
        cached: 0,
        prompt: 0,
      });
    }
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

  private async sendBody(response: ServerResponse, requestNumber: number): Promise<string> {
    const { id, bodyMs } = this.options;
    await delay(hostClock, bodyMs);
    const reply = `${id}.${requestNumber}`;
    if (!response.destroyed) response.end(reply);
    return reply;
  }
}
