/** What a front takes from clients on pass routes, and what it answers them. */
import { once } from 'node:events';
import { createServer } from 'node:http';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  createPassHandler,
  Front,
  HttpBackend,
  productDialect,
  routePassRequest,
} from '@tillerstair/proxy';
import { encodeBody, type PassRequest } from '@tillerstair/session-owner';
import { passHost } from '@tillerstair/sim';
import { hostClock, ReplicaError, RpcError } from '@tillerstair/wire';
import {
  ask,
  BoundAddress,
  startFront,
  attemptHeaders,
  reply,
  startServer,
} from '../support/http-server.js';
import { createFrontFixture, readLease, stateFor } from '../support/front-fixture.js';
import { headerOf } from '../support/interface-calls.js';

const client = suite('what a front tells clients of pass routes');

const passAsk = (path: string, more: Partial<PassRequest> = {}): PassRequest => ({
  tenant: 't',
  host: passHost,
  method: 'POST',
  path,
  headers: [['x-request-id', 'a']],
  body: encodeBody(Buffer.from('')),
  attempt: 'a',
  key: '',
  left: 5000,
  program: '',
  budget: null,
  most: 0,
  parts: [],
  after: '',
  resume: '',
  ...more,
});

client('a body over the limit is refused and reaches no server', async () => {
  const server = await startServer((asked, res) => reply(asked, res));
  const front = await startFront(server);
  const heard = await ask(front.port, '/once/x', attemptHeaders('a'), Buffer.alloc(0));
  assert.is(heard.status, 200);
  const large = await ask(
    front.port,
    '/once/x',
    ['X-Request-Id', 'b', 'Content-Length', String((1 << 20) + 1)],
    Buffer.alloc((1 << 20) + 1),
  );
  assert.is(large.status, 413);
  assert.is(server.seen.length, 1);
  await front.close();
});

client('a request without the id of its attempt is refused and reaches no server', async () => {
  const server = await startServer((asked, res) => reply(asked, res));
  const front = await startFront(server);
  assert.is((await ask(front.port, '/once/x', ['Content-Length', '0'])).status, 400);
  assert.is(server.seen.length, 0);
  await front.close();
});

client('the headers that a front sets itself are never taken from a client', async () => {
  const server = await startServer((asked, res) => reply(asked, res));
  const front = await startFront(server);
  await ask(
    front.port,
    '/once/x',
    attemptHeaders(
      'a',
      'X-Expect-Server',
      'another',
      'X-Time-Left-Ms',
      '3000',
      'Last-Event-Id',
      '7',
    ),
  );
  const values = (name: string): readonly string[] =>
    (server.seen[0]?.headers ?? []).filter(
      (_, i, all) => i % 2 === 1 && all[i - 1]?.toLowerCase() === name,
    );
  assert.equal(values('x-expect-server'), ['s0']);
  assert.is(values('x-time-left-ms').length, 1);
  assert.equal(values('last-event-id'), ['7']);
  await front.close();
});

client('a stream that breaks off does not end in order', async () => {
  const server = await startServer((asked, res) => {
    res.writeHead(200, ['X-Request-Id', asked.attempt, 'Content-Type', 'text/event-stream']);
    res.write('id: 1\ndata: one\n\n', () => res.socket?.end());
  });
  const front = await startFront(server);
  const heard = await ask(front.port, '/flow/x', attemptHeaders('a'));
  assert.equal([heard.status, heard.complete], [200, false]);
  await front.close();
});

client('an unknown outcome is told as 502 without Retry-After', async () => {
  const server = await startServer((_asked, res) => res.destroy());
  const front = await startFront(server);
  const heard = await ask(front.port, '/once/x', attemptHeaders('a'));
  assert.is(heard.status, 502);
  assert.is(headerOf(heard.headers, 'retry-after'), '');
  assert.match(heard.body.toString(), '"executed":"unknown"');
  await front.close();
});

client('a front without a lease carries nothing', async () => {
  const rig = createFrontFixture();
  rig.take(stateFor('f'));
  await rig.clock.run(readLease);
  for (const path of ['/again/x', '/once/x', '/flow/x', '/keyed/x'])
    try {
      await rig.clock.finish(
        path,
        routePassRequest(rig.front, passAsk(path), () => undefined, new AbortController().signal),
        10000,
      );
      assert.unreachable();
    } catch (e) {
      assert.is(e instanceof RpcError ? e.code : e, 'not-ready', path);
    }
  assert.is(rig.sent.length, 0);
});

client('no request is held beyond the deadline of its route', async () => {
  const rig = createFrontFixture();
  const state = stateFor('g');
  rig.take(state);
  void routePassRequest(
    rig.front,
    passAsk('/keyed/x', { key: 'k', left: 60000 }),
    () => undefined,
    new AbortController().signal,
  );
  await rig.clock.runReadyTasks();
  assert.is(rig.transport.calls[0]?.bounds.timeoutMs, 800);
});

client('a keyed operation goes on though its caller leaves, a stream does not', async () => {
  const rig = createFrontFixture();
  rig.take(stateFor('g'));
  const caller = new AbortController();
  void routePassRequest(
    rig.front,
    passAsk('/keyed/x', { key: 'k' }),
    () => undefined,
    caller.signal,
  );
  void routePassRequest(
    rig.front,
    passAsk('/turn/x', { program: 'p' }),
    () => undefined,
    caller.signal,
  );
  await rig.clock.runReadyTasks();
  caller.abort();
  assert.equal(
    rig.transport.calls.map((call) => [call.kind, call.bounds.signal?.aborted]),
    [
      ['front/keyed', false],
      ['front/stream', true],
    ],
  );
});

/** Sends one request to a front whose part after the reading of a request fails as `fail` says. */
const failingFront = async (fail: () => never): Promise<number> => {
  const rig = createFrontFixture();
  const backend = new HttpBackend({ connectTimeoutMs: 1000, maxConnections: () => 1 });
  class FailingFront extends Front {
    override serveLocally(): Promise<never> {
      return Promise.resolve().then(fail);
    }
  }
  const front = new FailingFront({ ...rig.parts, clock: hostClock, backend });
  front.owner.applyState(stateFor('g'));
  front.owner.renewLease(hostClock.now());
  const carry = createPassHandler(front, productDialect, () => 1000);
  const http = createServer((req, res) => void carry(req, res));
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const { port } = BoundAddress.parse(http.address());
  const heard = await ask(port, '/once/x', attemptHeaders('a'));
  http.closeAllConnections();
  http.close();
  await backend.close();
  return heard.status;
};

client('a failure after a request was passed on is no promise, unless it says so', async () => {
  assert.is(
    await failingFront(() => {
      throw new RangeError('a mistake of ours');
    }),
    502,
  );
  assert.is(
    await failingFront(() => {
      throw new ReplicaError('away', 'nothing was run');
    }),
    503,
  );
});

client.run();
