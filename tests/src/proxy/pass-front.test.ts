/** Which requests a front accepts from clients on pass routes, and which responses it sends. */
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
  sendPassOutcome,
} from '@tillerstair/proxy';
import { encodeBody, keyInProgress, type PassRequest } from '@tillerstair/session-owner';
import { passHost } from '@tillerstair/sim';
import { hostClock, ReplicaError, RpcError, UnsentBytes } from '@tillerstair/wire';
import {
  ask,
  BoundAddress,
  closeStarted,
  startFront,
  attemptHeaders,
  reply,
  startServer,
} from '../support/http-server.js';
import { createFrontFixture, readLease, stateFor } from '../support/front-fixture.js';
import { headerOf } from '../support/interface-calls.js';

const clients = suite('responses of a front to clients of pass routes');
clients.after.each(closeStarted);

const passRequest = (path: string, overrides: Partial<PassRequest> = {}): PassRequest => ({
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
  ...overrides,
});

clients('a body over the limit is refused and reaches no server', async () => {
  const server = await startServer((received, res) => reply(received, res));
  const front = await startFront(server);
  const response = await ask(front.port, '/once/x', attemptHeaders('a'), Buffer.alloc(0));
  assert.is(response.status, 200);
  const largeResponse = await ask(
    front.port,
    '/once/x',
    ['X-Request-Id', 'b', 'Content-Length', String((1 << 20) + 1)],
    Buffer.alloc((1 << 20) + 1),
  );
  assert.is(largeResponse.status, 413);
  assert.is(server.seen.length, 1);
  await front.close();
});

clients('a request without the id of its attempt is refused and reaches no server', async () => {
  const server = await startServer((received, res) => reply(received, res));
  const front = await startFront(server);
  assert.is((await ask(front.port, '/once/x', ['Content-Length', '0'])).status, 400);
  assert.is(server.seen.length, 0);
  await front.close();
});

clients('the headers that a front sets itself are never taken from a client', async () => {
  const server = await startServer((received, res) => reply(received, res));
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

clients('a stream that breaks off does not look complete', async () => {
  const server = await startServer((received, res) => {
    res.writeHead(200, ['X-Request-Id', received.attempt, 'Content-Type', 'text/event-stream']);
    res.write('id: 1\ndata: one\n\n', () => res.socket?.end());
  });
  const front = await startFront(server);
  const response = await ask(front.port, '/flow/x', attemptHeaders('a'));
  assert.equal([response.status, response.complete], [200, false]);
  await front.close();
});

clients('an unknown outcome is sent as 502 without Retry-After', async () => {
  const server = await startServer((_received, res) => res.destroy());
  const front = await startFront(server);
  const response = await ask(front.port, '/once/x', attemptHeaders('a'));
  assert.is(response.status, 502);
  assert.is(headerOf(response.headers, 'retry-after'), '');
  assert.match(response.body.toString(), '"executed":"unknown"');
  await front.close();
});

clients(
  'a key that its service is running is 409, which does not promise that nothing runs',
  async () => {
    const outcome = keyInProgress('running', 0.2);
    const http = createServer((_req, res) =>
      sendPassOutcome(res, outcome, new UnsentBytes()),
    ).listen(0, '127.0.0.1');
    await once(http, 'listening');
    const { port } = BoundAddress.parse(http.address());
    const response = await ask(port, '/keyed/x', attemptHeaders('a'));
    http.close();
    assert.is(response.status, 409);
    assert.is(headerOf(response.headers, 'retry-after'), '0.2');
    assert.match(response.body.toString(), '"executed":"unknown"');
  },
);

clients('a front without a lease forwards nothing', async () => {
  const fixture = createFrontFixture();
  fixture.applyWithLease(stateFor('f'));
  await fixture.clock.run(readLease);
  for (const path of ['/again/x', '/once/x', '/flow/x', '/keyed/x'])
    try {
      await fixture.clock.finish(
        path,
        routePassRequest(
          fixture.front,
          passRequest(path),
          () => undefined,
          new AbortController().signal,
        ),
        10000,
      );
      assert.unreachable();
    } catch (error) {
      assert.is(error instanceof RpcError ? error.code : error, 'not-ready', path);
    }
  assert.is(fixture.sent.length, 0);
});

clients('no request outlives the deadline of its route', async () => {
  const fixture = createFrontFixture();
  const state = stateFor('g');
  fixture.applyWithLease(state);
  void routePassRequest(
    fixture.front,
    passRequest('/keyed/x', { key: 'k', left: 60000 }),
    () => undefined,
    new AbortController().signal,
  );
  await fixture.clock.runReadyTasks();
  assert.is(fixture.transport.calls[0]?.bounds.timeoutMs, 800);
});

clients('a keyed operation continues if its caller disconnects, a stream does not', async () => {
  const fixture = createFrontFixture();
  fixture.applyWithLease(stateFor('g'));
  const caller = new AbortController();
  void routePassRequest(
    fixture.front,
    passRequest('/keyed/x', { key: 'k' }),
    () => undefined,
    caller.signal,
  );
  void routePassRequest(
    fixture.front,
    passRequest('/turn/x', { program: 'p' }),
    () => undefined,
    caller.signal,
  );
  await fixture.clock.runReadyTasks();
  caller.abort();
  assert.equal(
    fixture.transport.calls.map((call) => [call.kind, call.bounds.signal?.aborted]),
    [
      ['front/keyed', false],
      ['front/stream', true],
    ],
  );
});

/**
 * Sends one request to a front that fails with the error of `fail` once the request is read; resolves with the status.
 */
const failingFront = async (fail: () => never): Promise<number> => {
  const fixture = createFrontFixture();
  const backend = new HttpBackend({ connectTimeoutMs: 1000, maxConnections: () => 1 });
  class FailingFront extends Front {
    override serveLocally(): Promise<never> {
      return Promise.resolve().then(fail);
    }
  }
  const front = new FailingFront({ ...fixture.parts, clock: hostClock, backend });
  front.owner.applyState(stateFor('g'));
  front.owner.renewLease(hostClock.now());
  const handlePass = createPassHandler(front, productDialect, () => 1000);
  const http = createServer((req, res) => void handlePass(req, res));
  http.listen(0, '127.0.0.1');
  await once(http, 'listening');
  const { port } = BoundAddress.parse(http.address());
  const response = await ask(port, '/once/x', attemptHeaders('a'));
  http.closeAllConnections();
  http.close();
  await backend.close();
  return response.status;
};

clients(
  'a failure after a request was forwarded is 502, unless the error states that nothing ran',
  async () => {
    assert.is(
      await failingFront(() => {
        throw new RangeError('internal error');
      }),
      502,
    );
    assert.is(
      await failingFront(() => {
        throw new ReplicaError('away', 'nothing was run');
      }),
      503,
    );
  },
);

clients.run();
