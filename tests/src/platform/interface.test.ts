/**
 * Tests the outer protocol against the real programs, so that no name of it changes: settings, configuration requests,
 * headers, statuses and paths.
 */
import { once } from 'node:events';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { until } from '@tillerstair/fleet';
import { passHost } from '@tillerstair/sim';
import {
  startServer,
  type ReceivedRequest,
  type ReceivedResponse,
  type TestServer,
} from '../support/http-server.js';
import { call, headerOf, jsonOf } from '../support/interface-calls.js';
import { configuration, respondByPath, tryIdOf, buildWay } from '../support/platform-servers.js';
import { startServerList, startSystem, type ListEntry } from '../support/platform-system.js';

const protocol = suite('the outer protocol: settings, configuration requests, headers, statuses');

const requestOf = (server: TestServer, attempt: string): ReceivedRequest => {
  const request = server.seen.find((candidate) => tryIdOf(candidate) === attempt);
  if (!request) throw new Error(`the server received no request with try id ${attempt}`);
  return request;
};
let engine: TestServer;
let tool: TestServer;
let spare: TestServer;
let entries: readonly ListEntry[] = [];
let list: Awaited<ReturnType<typeof startServerList>>;
let system: Awaited<ReturnType<typeof startSystem>>;

/** Sends a configuration request to the control; without `base` it has no `If-Match`. */
const sendConfiguration = (
  method: string,
  base: number | undefined,
  body: object | string,
): Promise<ReceivedResponse> =>
  call(
    system.ports.control,
    method,
    '/configuration',
    base === undefined ? [] : ['If-Match', String(base)],
    typeof body === 'string' ? body : JSON.stringify(body),
  );

/** Sends a request to the front, with a try id and 3000 ms to answer. */
const send = (
  path: string,
  attempt: string,
  headers: readonly string[] = [],
  body = 'x',
): Promise<ReceivedResponse> =>
  call(
    system.ports.front,
    'POST',
    path,
    ['Try-Id', attempt, 'Time-Left-Ms', '3000', ...headers],
    body,
  );

/** The status of the front's readiness check; 0 if it does not answer. */
const readinessStatus = async (): Promise<number> =>
  (await call(system.ports.ready, 'GET', '/readiness').catch(() => ({ status: 0 }))).status;

const entry = (
  serverId: string,
  depot: string,
  port: number,
  state: ListEntry['state'] = 'accepting',
) => ({ serverId, depot, address: `127.0.0.1:${port}`, state });

protocol.before(async () => {
  engine = await startServer(respondByPath);
  tool = await startServer(respondByPath);
  spare = await startServer(respondByPath);
  entries = [
    entry('i-engine', 'engines', engine.port),
    entry('i-tool', 'tools', tool.port),
    entry('i-going', 'tools', spare.port, 'winding_down'),
    entry('i-spare', 'spares', spare.port),
  ];
  list = await startServerList(() => entries);
  system = await startSystem(list.port);
});

protocol.after(async () => {
  await system.close();
  list.close();
  for (const server of [engine, tool, spare]) server.close();
});

protocol('a front answers 503 at /readiness before a configuration is in force', async () => {
  await until('the front listens', 20000, async () => (await readinessStatus()) !== 0);
  assert.is(await readinessStatus(), 503);
});

protocol(
  'without a configuration GET is answered 404 and PATCH 412; PUT requires If-Match',
  async () => {
    await until('a master is elected', 30000, async () => {
      const response = await call(system.ports.control, 'GET', '/configuration').catch(
        () => undefined,
      );
      return response?.status === 404;
    });
    assert.is((await sendConfiguration('PUT', undefined, configuration(3))).status, 400);
    assert.is((await sendConfiguration('PATCH', 0, { edition: 4 })).status, 412);
  },
);

protocol(
  'PUT /configuration: 200, for a retry 200, for another on the same version 412',
  async () => {
    const first = JSON.stringify(configuration(5));
    await until(
      'taken',
      20000,
      async () => (await sendConfiguration('PUT', 0, first)).status === 200,
    );
    assert.is((await sendConfiguration('PUT', 0, first)).status, 200);
    assert.is((await sendConfiguration('PUT', 0, configuration(6))).status, 412);
    const read = await call(system.ports.control, 'GET', '/configuration');
    assert.is(read.status, 200);
    assert.is(headerOf(read.headers, 'content-type'), 'application/json');
    assert.is(read.body.toString(), first);
  },
);

protocol('a configuration that cannot be parsed, or violates a rule, is answered 400', async () => {
  const invalidBodies: readonly (object | string)[] = [
    '{"edition":',
    { edition: 7 },
    configuration(7, { ways: [buildWay('a', 'streamed', 'nowhere')] }),
    configuration(7, {
      ways: [
        buildWay('a', 'streamed', 'tools'),
        { ...buildWay('a', 'streamed', 'tools'), name: 'b' },
      ],
    }),
    configuration(7, { ways: [{ ...buildWay('a', 'streamed', 'tools'), deadlineMs: 0 }] }),
    configuration(7, { ways: [{ ...buildWay('a', 'streamed', 'tools'), wayKind: 'unheard' }] }),
    configuration(7, {
      ways: [
        {
          ...buildWay('a', 'streamed', 'tools'),
          depot: undefined,
          dispatch: [{ depot: 'tools', share: 0 }],
        },
      ],
    }),
    configuration(5),
  ];
  for (const body of invalidBodies)
    assert.is((await sendConfiguration('PUT', 5, body)).status, 400, JSON.stringify(body));
});

protocol('PATCH /configuration: edition, upsert, remove and intakeLimits', async () => {
  const patch = {
    edition: 9,
    upsert: {
      ways: [
        buildWay('split', 'repeatable', 'tools', { dispatch: [{ depot: 'tools', share: 90 }] }),
      ],
      depots: [{ name: 'spares', connLimit: 7 }],
    },
    remove: { ways: ['quick'], depots: [] },
    intakeLimits: {
      maxHeaderBytes: 3000,
      maxBodyBytes: 6000,
      headerWaitMs: 3000,
      idleCloseMs: 15000,
    },
  };
  assert.is((await sendConfiguration('PATCH', 5, patch)).status, 200);
  assert.is((await sendConfiguration('PATCH', 5, patch)).status, 200);
  assert.is((await sendConfiguration('PATCH', 5, { ...patch, edition: 10 })).status, 412);
  const read = jsonOf(await call(system.ports.control, 'GET', '/configuration'));
  const before = configuration(5);
  assert.equal(read, {
    ...before,
    edition: 9,
    ways: [...before.ways.filter((way) => way.name !== 'quick'), ...patch.upsert.ways],
    depots: before.depots.map((d) => (d.name === 'spares' ? patch.upsert.depots[0] : d)),
    intakeLimits: patch.intakeLimits,
  });
  assert.is((await sendConfiguration('PUT', 9, configuration(11))).status, 200);
});

protocol('a connected front answers 200 at /readiness, and 503 at any other path', async () => {
  await until('ready', 20000, async () => (await readinessStatus()) === 200);
  assert.is((await call(system.ports.ready, 'GET', '/live')).status, 503);
});

protocol(
  'the server list is read page by page, and only servers with `state` accepting serve requests',
  async () => {
    await until(
      'a request is served',
      20000,
      async () => (await send('/again/x', 'warm-up')).status === 200,
    );
    assert.ok(list.asked.includes('/servers'));
    assert.ok(list.asked.includes('/servers?pageToken=1'));
    assert.is(spare.seen.length, 0);
  },
);

protocol(
  'a request is forwarded with its headers, and Expect-Server and Time-Left-Ms set',
  async () => {
    const headers = [
      ...['Content-Type', 'text/x-own', 'X-Own', 'a', 'Model', 'm', 'Session', 's1'],
      ...['Program-Time-Left', '5200', 'Connection', 'x-hop', 'X-Hop', 'gone'],
      ...['Expect-Server', 'someone-else'],
    ];
    const response = await send('/again/deed?q=1', 'try-1', headers, 'a body');
    assert.is(response.status, 200);
    assert.is(response.body.toString(), 'did a body');
    for (const [name, value] of [
      ['try-id', 'try-1'],
      ['server-seal', 'seal.1'],
      ['x-own', 'kept'],
    ] as const)
      assert.is(headerOf(response.headers, name), value);
    const request = requestOf(tool, 'try-1');
    assert.is(request.method, 'POST');
    assert.is(request.path, '/again/deed?q=1');
    const forwarded = request.headers;
    for (const [name, value] of [
      ['host', passHost],
      ['content-type', 'text/x-own'],
      ['x-own', 'a'],
      ['model', 'm'],
      ['session', 's1'],
      ['program-time-left', '5200'],
      ['expect-server', 'i-tool'],
      ['x-hop', ''],
    ] as const)
      assert.is(headerOf(forwarded, name), value, name);
    const timeLeftMs = Number(headerOf(forwarded, 'time-left-ms'));
    assert.ok(timeLeftMs > 0 && timeLeftMs <= 3000, String(timeLeftMs));
  },
);

protocol('Time-Left-Ms of a forwarded request is limited by `deadlineMs` too', async () => {
  const before = Date.now();
  const response = await send('/quick/silent', 'try-quick');
  assert.ok(Date.now() - before < 3000);
  assert.is(response.status, 502);
  const request = requestOf(tool, 'try-quick');
  assert.ok(Number(headerOf(request.headers, 'time-left-ms')) <= 300);
});

protocol('status of a request by the answer of its server: Not-Run, 421, Server-Seal', async () => {
  const forwardedCount = (attempt: string): number =>
    tool.seen.filter((request) => tryIdOf(request) === attempt).length;
  for (const behavior of ['full', 'other']) {
    const response = await send(`/once/${behavior}`, `try-${behavior}`);
    assert.is(response.status, 503, behavior);
    assert.ok(Number(headerOf(response.headers, 'retry-after')) > 0);
    assert.is(headerOf(response.headers, 'server-seal'), '');
    assert.is(forwardedCount(`try-${behavior}`), 1);
  }
  for (const behavior of ['overloaded', 'unsealed'])
    assert.is((await send(`/once/${behavior}`, `try-${behavior}`)).status, 502, behavior);
  const failed = await send('/once/failed', 'try-failed');
  assert.is(failed.status, 500);
  assert.is(failed.body.toString(), 'failed here');
  assert.is(headerOf(failed.headers, 'server-seal'), 'seal.1');
});

protocol('a front rejects invalid requests itself: 400, 404, 413, 431', async () => {
  const sendPlain = (
    path: string,
    headers: readonly string[],
    body = '',
  ): Promise<ReceivedResponse> => call(system.ports.front, 'POST', path, headers, body);
  assert.is((await sendPlain('/again/x', [])).status, 400);
  assert.is((await sendPlain('/nowhere/x', ['Try-Id', 'n'])).status, 404);
  assert.is((await sendPlain('/again/x', ['Try-Id', 'b'], 'y'.repeat(5001))).status, 413);
  assert.is((await sendPlain('/again/x', ['Try-Id', 'h', 'X', 'y'.repeat(2001)])).status, 431);
});

protocol(
  'an operation with Operation-Key is executed once: retries get its answer, or 409 while it runs',
  async () => {
    const key = ['Operation-Key', 'k-1'];
    const first = await send('/keyed/x', 'try-k1', key, 'order');
    const second = await send('/keyed/x', 'try-k2', key, 'order');
    assert.is(first.status, 200);
    assert.is(second.status, 200);
    assert.is(second.body.toString(), first.body.toString());
    assert.is(headerOf(second.headers, 'server-seal'), 'seal.1');
    const executions = tool.seen.filter(
      (request) => headerOf(request.headers, 'operation-key') === 'k-1',
    );
    assert.is(executions.length, 1);
    assert.is((await send('/keyed/x', 'try-k3')).status, 400);
    const silent = send('/keyed/silent', 'try-k4', ['Operation-Key', 'k-2']);
    await until('the server received the operation', 5000, () =>
      Promise.resolve(
        tool.seen.some((request) => headerOf(request.headers, 'operation-key') === 'k-2'),
      ),
    );
    const retry = await call(
      system.ports.front,
      'POST',
      '/keyed/silent',
      ['Try-Id', 'try-k5', 'Operation-Key', 'k-2', 'Time-Left-Ms', '200'],
      'x',
    );
    assert.is(retry.status, 409);
    assert.is((await silent).status, 502);
  },
);

const events = 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n';

protocol('turns: Previous-Turn, Program, Token-Budget, Token-Count and Prompt-Prefix', async () => {
  const turn = (
    attempt: string,
    previous: string,
    body: string,
    budget = 1000,
  ): Promise<ReceivedResponse> =>
    send(
      '/turn/x',
      attempt,
      [
        ...['Program', 'p1', 'Token-Budget', String(budget), 'Token-Count', '10,20'],
        ...['Prompt-Prefix', '5c1e07a2:8,91bd3f06:2'],
        ...(previous === '' ? [] : ['Previous-Turn', previous]),
      ],
      body,
    );
  const first = await turn('t-1', '', 'Hello');
  assert.is(first.status, 200);
  assert.is(first.body.toString(), events);
  assert.is(headerOf(first.headers, 'content-type'), 'text/event-stream');
  assert.is((await turn('t-2', 't-1', ' Next')).status, 200);
  const request = requestOf(engine, 't-2');
  assert.is(request.body.toString(), 'Helloone\ntwo\n Next');
  assert.is(headerOf(request.headers, 'token-count'), '10,20');
  assert.is(headerOf(request.headers, 'program'), 'p1');
  assert.is((await turn('t-3', 't-none', 'x')).status, 404);
  // Two turns of two events, ten tokens each (`strideTokens`), are charged: 40.
  assert.is((await turn('t-4', 't-2', 'x', 59)).status, 402);
  assert.is((await turn('t-5', 't-2', 'x', 60)).status, 200);
});

protocol('a stream on a `resumable` route is forwarded with Last-Event-Id', async () => {
  const response = await send('/live/x', 'l-1', ['Last-Event-Id', '12', 'Token-Count', '10,20']);
  assert.is(response.status, 200);
  const request = requestOf(engine, 'l-1');
  assert.is(headerOf(request.headers, 'last-event-id'), '12');
});

protocol(
  'POST and GET /retire/NODE: 409 if too few nodes would remain, 404 for an unknown node',
  async () => {
    const retire = (method: string, node: string): Promise<ReceivedResponse> =>
      call(
        system.ports.control,
        method,
        `/retire/${node}`,
        [],
        method === 'POST' ? '{"overS":10}' : '',
      );
    assert.is((await retire('POST', 'vault-1')).status, 409);
    assert.is((await retire('POST', 'vault-none')).status, 404);
    const report = await retire('GET', 'vault-1');
    assert.is(report.status, 200);
    assert.equal(jsonOf(report), { state: 'in_service' });
    assert.is((await call(system.ports.control, 'GET', '/elsewhere')).status, 404);
  },
);

protocol(
  'a stopping front answers Connection: close and 503 at /readiness, and exits with code 0',
  async () => {
    const front = system.started.find(({ role }) => role === 'front-proxy');
    const agent = system.started.find(({ role }) => role === 'front-agent');
    assert.ok(front && agent);
    const exits = Promise.all([front, agent].map((program) => once(program.child, 'exit')));
    front.child.kill('SIGTERM');
    // The agent is still connected, so only the front itself knows that it is stopping.
    await until('the front is not ready', 4000, async () => (await readinessStatus()) === 503);
    agent.child.kill('SIGTERM');
    const response = await send('/again/x', 'last');
    assert.is(response.status, 200);
    assert.is(headerOf(response.headers, 'connection'), 'close');
    for (const exit of await exits) assert.equal(exit, [0, null]);
  },
);

protocol.run();
