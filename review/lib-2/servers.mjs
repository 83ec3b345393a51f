/** Stand-ins for the platform's list and for servers, for the scripts of the second review. */
import { createServer } from 'node:http';

const host = '127.0.0.1';
const idleMs = 5000;

const listen = (server) =>
  new Promise((done, failed) => {
    server.once('error', failed);
    server.listen(0, host, () => done(`${host}:${server.address().port}`));
  });

const end = (server) => {
  server.closeAllConnections();
  server.close();
};

/** The platform's list of servers; `servers` may change. */
export class ServerList {
  servers = [];

  async start() {
    this.server = createServer((_req, res) => {
      res.setHeader('Content-Type', 'application/json');
      res.end(JSON.stringify({ servers: this.servers, nextToken: null }));
    });
    this.address = await listen(this.server);
  }

  end() {
    end(this.server);
  }
}

const readBody = async (req) => {
  const parts = [];
  for await (const part of req) parts.push(part);
  return Buffer.concat(parts);
};

/** A short answer with a length. */
const answerShortly = (_req, res, head) => {
  res.writeHead(200, { ...head, 'Content-Length': '2' }).end('ok');
};

/**
 * A sound server: it refuses requests that are meant for another server with 421, reports each other one to `onRun`, and
 * answers with its stamp. `respond` writes the answer.
 */
export class Server {
  constructor(service, id, { berths = 16, onRun = () => undefined, respond = answerShortly } = {}) {
    Object.assign(this, { service, id, berths, onRun, respond });
  }

  async start() {
    this.server = createServer((req, res) => void this.handle(req, res));
    this.server.keepAliveTimeout = idleMs;
    this.address = await listen(this.server);
  }

  async handle(req, res) {
    const body = await readBody(req);
    const tryId = req.headers['try-id'] ?? '';
    if ((req.headers['expect-server'] ?? this.id) !== this.id) {
      res.writeHead(421, { 'Try-Id': tryId, 'Not-Run': '1', 'Content-Length': '0' }).end();
      return;
    }
    this.onRun({ tryId, service: this.service, server: this.id, body });
    this.respond(req, res, { 'Try-Id': tryId, 'Server-Seal': `${this.id}.${tryId}` });
  }

  get listed() {
    return {
      serverId: this.id,
      depot: this.service,
      address: this.address,
      zone: 'zone-a',
      edition: 'v1',
      berths: this.berths,
      state: 'accepting',
      coldLeftMs: 0,
    };
  }

  end() {
    end(this.server);
  }
}

/** The event with this number of the answer to a try. */
export const eventOf = (tryId, number) => `id: ${number}\ndata: ${tryId}-${number}\n\n`;

/** Writes an answer of `count` events, one each `gapMs`. */
export const streamEvents =
  ({ count = 3, gapMs = 0 } = {}) =>
  (_req, res, head) => {
    res.writeHead(200, { ...head, 'Content-Type': 'text/event-stream' });
    let number = 0;
    const next = () => {
      number++;
      res.write(eventOf(head['Try-Id'], number));
      if (number === count) res.end();
      else setTimeout(next, gapMs);
    };
    next();
  };

/**
 * A sound server of a service that keeps its own record of keys: it runs one request at a time, keeps a few more waiting,
 * answers a repeat with the first answer, and one whose key is at work with 409 and `Not-Run`.
 */
export class DedupingServer extends Server {
  waiting = [];
  answers = new Map();
  atWork = new Set();
  isBusy = false;

  constructor(service, id, { onRun, onEnd, runMs, maxWaiting = 12 }) {
    super(service, id, { berths: 1, onRun });
    Object.assign(this, { onEnd, runMs, maxWaiting });
  }

  async handle(req, res) {
    const body = await readBody(req);
    const tryId = req.headers['try-id'] ?? '';
    const key = req.headers['operation-key'];
    const decline = (status) => {
      res.writeHead(status, { 'Try-Id': tryId, 'Not-Run': '1', 'Content-Length': '0' }).end();
    };
    if ((req.headers['expect-server'] ?? this.id) !== this.id) decline(421);
    else if (this.answers.has(key)) this.repeat(res, tryId, this.answers.get(key));
    else if (this.atWork.has(key)) decline(409);
    else if (this.waiting.length >= this.maxWaiting) decline(503);
    else
      this.enter({
        res,
        tryId,
        key,
        body,
        decline,
        until: Date.now() + Number(req.headers['time-left-ms'] ?? 0),
      });
  }

  repeat(res, tryId, { seal, text }) {
    const head = { 'Try-Id': tryId, 'Server-Seal': seal, 'Content-Length': text.length };
    res.writeHead(200, head).end(text);
  }

  enter(request) {
    this.atWork.add(request.key);
    this.waiting.push(request);
    this.runNext();
  }

  /** Drops waiting requests whose connection has closed or whose time is over, and runs the first other one. */
  runNext() {
    if (this.isBusy) return;
    const request = this.waiting.shift();
    if (!request) return;
    const isLate = Date.now() > request.until;
    if (isLate || request.res.destroyed) {
      this.atWork.delete(request.key);
      if (isLate) request.decline(503);
      this.runNext();
      return;
    }
    this.isBusy = true;
    this.onRun({
      tryId: request.tryId,
      service: this.service,
      server: this.id,
      body: request.body,
    });
    setTimeout(() => this.endRun(request), this.runMs);
  }

  endRun({ res, tryId, key }) {
    const answer = { seal: `${this.id}.${tryId}`, text: `booked for ${tryId}` };
    this.answers.set(key, answer);
    this.atWork.delete(key);
    this.isBusy = false;
    this.onEnd(tryId);
    if (!res.destroyed) this.repeat(res, tryId, answer);
    this.runNext();
  }
}
