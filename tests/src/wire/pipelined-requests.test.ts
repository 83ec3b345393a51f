/** What the connections of an HTTP server hold: waiting requests, incomplete heads and bodies, and unread answers. */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { PassThrough } from 'node:stream';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { until } from '@tillerstair/fleet';
import {
  arrivalTimeOf,
  BudgetUse,
  ByteBudget,
  ConnectionGuard,
  ConnectionInput,
  DrainableServer,
  GrowingBuffer,
  hostClock,
  jsonMemoryBytes,
  readJsonText,
  RequestPipeline,
  sendJson,
  serveHttp,
  UnsentBytes,
} from '@tillerstair/wire';
import { freePorts } from '@tillerstair/fleet';
import { BoundAddress } from '../support/http-server.js';

const pipelines = suite('requests of one connection');
const timeoutMs = 10_000;
const sockets: Socket[] = [];
const servers: DrainableServer[] = [];

pipelines.after.each(() => {
  for (const socket of sockets.splice(0)) socket.destroy();
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

interface Held {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Starts a guarded server whose handler keeps each request. */
const startHolding = async (inputMemory = new ByteBudget(), maxConnections = 10) => {
  const held: Held[] = [];
  const server = new DrainableServer({}, (request, response) => held.push({ request, response }));
  servers.push(server);
  new ConnectionGuard(server, {
    maxConnections: () => maxConnections,
    maxHeadBytes: () => 16384,
    inputMemory,
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { server, held, port: BoundAddress.parse(server.address()).port };
};

const open = (port: number, text: string): Socket => {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => socket.destroy());
  socket.write(text);
  sockets.push(socket);
  return socket;
};

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`;

const isTrue = (what: string, holds: () => boolean): Promise<number> =>
  until(what, timeoutMs, () => Promise.resolve(holds()));

// Guards against requests that are handled all at once, however many a client sends ahead.
pipelines('one request is handled at a time, and those that wait keep their arrival', async () => {
  const { held, port } = await startHolding();
  open(port, get('/a') + get('/b')).resume();
  await isTrue('the first request is held', () => held.length > 0);
  const arrivedBefore = hostClock.now();
  held[0]?.response.end('a');
  await isTrue('the second request is held', () => held.length > 1);
  assert.equal(
    held.map(({ request }) => request.url),
    ['/a', '/b'],
  );
  const arrivals = held.map(({ request }) => arrivalTimeOf(request) ?? Infinity);
  assert.ok(arrivals.every((arrivedAt) => arrivedAt <= arrivedBefore));
});

// Guards against requests that run although their client cannot get the answer any more.
pipelines('a request that waits is not handled once its connection closes', async () => {
  const { held, port } = await startHolding();
  const socket = open(port, get('/a') + get('/b'));
  await isTrue('the first request is held', () => held.length > 0);
  for (const { response } of held) {
    response.shouldKeepAlive = false;
    response.end('a');
  }
  await once(socket.resume(), 'close');
  assert.is(held.length, 1);
  const pipeline = new RequestPipeline();
  for (const exchange of held) assert.ok(pipeline.add(exchange));
  assert.ok(pipeline.isClosing);
});

// Guards against requests that the parser turns into objects although nobody can handle them yet.
pipelines('a client that sends far ahead is answered completely, and held back', async () => {
  const inputMemory = new ByteBudget(1 << 20);
  const { server, held, port } = await startHolding(inputMemory);
  const count = 3000;
  let received = '';
  open(port, get('/').repeat(count)).on('data', (chunk) => {
    received += chunk.toString('latin1');
  });
  let mostPending = 0;
  server.on('request', () => {
    mostPending = Math.max(mostPending, server.pendingRequests);
    setImmediate(() => {
      for (const { response } of held.splice(0)) response.end('done');
    });
  });
  const answered = (): number => received.split('done').length - 1;
  await isTrue('the first is held', () => held.length + answered() > 0);
  await isTrue('all are answered', () => {
    for (const { response } of held.splice(0)) response.end('done');
    return answered() === count;
  });
  assert.ok(mostPending > 1 && mostPending <= 100, `${mostPending} requests were pending`);
  assert.is(inputMemory.used, 0);
});

// Guards against connections that nobody else gets while bodies on them never end.
pipelines('an incomplete request makes room for a new connection', async () => {
  const { held, port } = await startHolding(new ByteBudget(), 1);
  const incomplete = open(port, 'POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nx');
  await isTrue('the incomplete request is held', () => held.length === 1);
  open(port, get('/b'));
  await isTrue('the second request is held', () => held.length === 2);
  await isTrue('the first connection is closed', () => incomplete.destroyed);
});

// Guards against answers of the server itself that pass by the order and the count of requests.
pipelines('requests without a host or with an unknown expectation wait as others do', async () => {
  const { held, port } = await startHolding();
  const expecting = 'GET / HTTP/1.1\r\nHost: x\r\nExpect: more\r\n\r\n';
  for (const [text, status] of [
    ['GET / HTTP/1.1\r\n\r\n', '400'],
    [expecting, '417'],
  ] as const) {
    held.length = 0;
    const socket = open(port, get('/a') + text + get('/b'));
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    await isTrue('the first request is held', () => held.length === 1);
    held[0]?.response.end('a');
    await isTrue('the connection is closed', () => socket.destroyed);
    assert.equal(
      [...received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, code]) => code),
      ['200', status],
    );
    assert.is(held.length, 1);
  }
});

// Guards against a request that runs after its client was told that it has not.
pipelines('a request that was given up for a smaller one is refused and not handled', async () => {
  const bodyMemory = new ByteBudget(100_000);
  const [port = 0] = await freePorts(1);
  const bodies: number[] = [];
  const server = await serveHttp(
    `127.0.0.1:${port}`,
    async (request, response) => {
      bodies.push((await readJsonText(request, 1 << 20)).length);
      sendJson(response, 200, {});
    },
    { maxConnections: 10, inputMemory: new ByteBudget(), bodyMemory, unsent: new UnsentBytes() },
  );
  servers.push(server);
  const post = (length: number): string =>
    `POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ${length}\r\n\r\n`;
  const large = open(port, post(80_001) + 'x'.repeat(80_000));
  let refusal = '';
  large.on('data', (chunk) => {
    refusal += chunk.toString('latin1');
  });
  await isTrue('the large body is counted', () => bodyMemory.used >= 80_000);
  open(port, `${post(30_001)}${'x'.repeat(30_000)}`);
  await isTrue('the large request is refused', () => refusal.includes('"memory-full"'));
  assert.match(refusal, /^HTTP\/1\.1 503 /);
  assert.match(refusal, /"executed":"no"/);
  large.write('x');
  await isTrue('the connection is closed', () => large.destroyed);
  assert.equal(bodies, []);
});

pipelines('a use that was given up takes nothing more, and a larger one never displaces it', () => {
  const budget = new ByteBudget(1000);
  const large = new BudgetUse(budget);
  let evicted = 0;
  assert.ok(large.take(700));
  large.allowEviction({ isAllowed: () => evicted === 0, onEvicted: () => evicted++ });
  assert.not.ok(new BudgetUse(budget).take(800));
  assert.is(evicted, 0);
  assert.ok(new BudgetUse(budget).take(500));
  assert.is(evicted, 1);
  assert.ok(large.wasEvicted);
  assert.not.ok(large.take(1));
  assert.is(budget.used, 500);
});

pipelines('a use that is alone exceeds its own limit within the total only', () => {
  const total = new ByteBudget(1000);
  const part = new ByteBudget(100, total);
  assert.ok(new BudgetUse(part).take(840));
  assert.is(total.used, 840);
  assert.not.ok(new BudgetUse(new ByteBudget(100, total)).take(150));
  assert.is(new BudgetUse(part).mostBytes, 850);
});

// Guards against estimates of an incomplete head that a client can make too small.
pipelines('bytes after complete requests count as an incomplete head', () => {
  const input = new ConnectionInput();
  const partial = `GET / HTTP/1.1\r\n${'abc:\r\n'.repeat(20)}`;
  input.received(Buffer.from(partial));
  assert.is(input.headBytes, partial.length);
  assert.ok(input.memoryBytes >= partial.length * 16);
  input.setWaitingRequests(3);
  assert.ok(input.memoryBytes >= partial.length * 16 + 3 * 4096);
});

// Guards against bodies of many values, which take a hundred times their text.
pipelines('the memory of a JSON text is estimated by its values', () => {
  assert.ok(jsonMemoryBytes(`[${'{},'.repeat(1000)}{}]`) > 1000 * 150);
  assert.ok(jsonMemoryBytes(`"${'x'.repeat(100_000)}"`) < 1_000_000);
});

pipelines('bytes that arrive one by one are collected in order', () => {
  const collected = new GrowingBuffer();
  assert.is(collected.toBuffer().length, 0);
  const bytes = Buffer.from(Array.from({ length: 1000 }, (_, n) => n % 251));
  for (const byte of bytes) collected.append(Buffer.from([byte]));
  assert.ok(collected.toBuffer().equals(bytes));
});

// Guards against a listener for each write of a stream that is read in between.
pipelines('a stream is watched once, however often it has unsent bytes', () => {
  const stream = new PassThrough();
  const unsent = new UnsentBytes(1000);
  for (let n = 0; n < 50; n++) {
    stream.write('x');
    unsent.wrote(stream);
    stream.read();
    unsent.wrote(stream);
  }
  assert.is(stream.listenerCount('close'), 1);
});

pipelines.run();
