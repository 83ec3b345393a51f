/** The memory of requests, answers and connections at a front is bounded over all of them. */
import { once } from 'node:events';
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { until } from '@tillerstair/fleet';
import { RequestMemory } from '@tillerstair/proxy';
import {
  BudgetUse,
  ByteBudget,
  ConnectionGuard,
  DrainableServer,
  UnsentBytes,
} from '@tillerstair/wire';
import { BoundAddress } from '../support/http-server.js';

const bounded = suite('memory of requests under way');
const timeoutMs = 10_000;
const sockets: Socket[] = [];
const servers: { close(): unknown; closeAllConnections(): void }[] = [];

bounded.after.each(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

const open = (port: number, text = ''): Socket => {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => socket.destroy());
  socket.write(text);
  sockets.push(socket);
  return socket;
};

/** Starts a server and resolves with its port. */
const listen = async (server: DrainableServer | ReturnType<typeof createServer>) => {
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return BoundAddress.parse(server.address()).port;
};

bounded('a large user of a budget leaves room for small ones, and is let in alone', () => {
  const budget = new ByteBudget(1000);
  const large = new BudgetUse(budget);
  assert.ok(large.take(2000));
  assert.not.ok(new BudgetUse(budget).take(1));
  large.release();
  large.release();
  assert.is(budget.used, 0);
  const first = new BudgetUse(budget);
  assert.ok(first.take(800));
  assert.not.ok(new BudgetUse(budget).take(100));
  assert.ok(new BudgetUse(budget).take(10));
});

// Guards against bodies and heads of legal size that together exceed the memory.
bounded(
  'requests count with their head lines and bodies until their response has closed',
  async () => {
    const memory = new RequestMemory(new ByteBudget(100_000));
    const refusals: string[] = [];
    const held: ServerResponse[] = [];
    const server = createServer((req: IncomingMessage, res: ServerResponse) => {
      try {
        const reservation = memory.reserve(req, () => undefined);
        res.once('close', () => reservation.release());
        if (req.headers['transfer-encoding']) reservation.addBody(30_000);
        held.push(res);
      } catch (error) {
        refusals.push(String(error));
        res.end();
      }
    });
    server.maxHeadersCount = 0;
    const port = await listen(server);
    const get = (...lines: readonly string[]): Socket =>
      open(port, ['POST / HTTP/1.1', 'Host: x', ...lines, '', ''].join('\r\n'));
    const isCounted = (count: number) => () =>
      Promise.resolve(held.length + refusals.length === count);
    get('Content-Length: 20000');
    await until('the first request is held', timeoutMs, isCounted(1));
    get('Content-Length: 20000');
    get('Transfer-Encoding: chunked');
    get('Content-Length: 0', ...Array<string>(200).fill('a:'));
    await until('three requests are refused', timeoutMs, isCounted(4));
    assert.is(refusals.length, 3);
    get('Content-Length: 0');
    await until('a small request is held', timeoutMs, isCounted(5));
    assert.is(refusals.length, 3);
    for (const res of held.splice(0)) res.end();
    refusals.length = 0;
    await until('another large request is held', timeoutMs, () => {
      if (held.length + refusals.length === 0) get('Content-Length: 20000');
      else if (held.length === 0) refusals.length = 0;
      return Promise.resolve(held.length > 0);
    });
  },
);

// Guards against answers that wait in memory for clients that do not read them.
bounded('the answer with the most unsent bytes is cut off first; one alone is not', async () => {
  const maxBytes = 16 << 20;
  const unsent = new UnsentBytes(maxBytes);
  const closed: string[] = [];
  const server = createServer((req, res) => {
    const bytes = Number(req.url?.slice(1));
    res.on('close', () => closed.push(`${bytes} ${res.writableFinished}`));
    res.write(Buffer.alloc(bytes));
    unsent.wrote(res);
  });
  const port = await listen(server);
  const ask = (bytes: number): void => {
    open(port, `GET /${bytes} HTTP/1.1\r\nHost: x\r\n\r\n`).pause();
  };
  ask(24 << 20);
  let small = 0;
  const req = request({ host: '127.0.0.1', port, path: '/1000' }, (res) => {
    res.on('data', () => small++);
  });
  req.on('error', () => undefined);
  req.end();
  await until('the small answer arrives', timeoutMs, () => Promise.resolve(small > 0));
  ask(8 << 20);
  await until('the longest answer is cut off', timeoutMs, () => Promise.resolve(closed.length > 0));
  assert.equal(closed, [`${24 << 20} false`]);
  req.destroy();
});

// Guards against connections and heads of requests without a bound over all of them.
bounded(
  'the connections used longest ago are closed first, and none with a pending request',
  async () => {
    const pending: ServerResponse[] = [];
    const server = new DrainableServer({ maxHeaderSize: 1 << 20 }, (req, res) => {
      if (req.url === '/held') pending.push(res);
      else res.end('ok');
    });
    new ConnectionGuard(server, {
      maxConnections: () => 3,
      maxHeadBytes: () => 1000,
      inputMemory: new ByteBudget(1 << 20),
    });
    const port = await listen(server);
    const held = open(port, 'GET /held HTTP/1.1\r\nHost: x\r\n\r\n');
    await until('the request is pending', timeoutMs, () => Promise.resolve(pending.length === 1));
    const idle = open(port);
    await once(idle, 'connect');
    const used = open(port, 'GET / HTTP/1.1\r\nHost: x\r\n\r\n');
    await once(used, 'data');
    const next = open(port, 'GET / HTTP/1.1\r\nHost: x\r\n\r\n');
    await once(next, 'data');
    await until('the idle connection is closed', timeoutMs, () => Promise.resolve(idle.destroyed));
    assert.equal([held.destroyed, used.destroyed, next.destroyed], [false, false, false]);
    used.write('\r\n'.repeat(50_000));
    await until('empty lines end the connection', timeoutMs, () => Promise.resolve(used.destroyed));
    const heads = [open(port), open(port)];
    for (const socket of heads) socket.resume().write(`GET / HTTP/1.1\r\nx: ${'y'.repeat(40_000)}`);
    await until('heads without end are closed', timeoutMs, () =>
      Promise.resolve(heads.some(({ destroyed }) => destroyed)),
    );
    assert.not.ok(held.destroyed);
  },
);

bounded.run();
