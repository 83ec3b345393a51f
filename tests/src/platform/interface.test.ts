/** Holds every name of the users' pages still: settings, orders, headers, statuses and paths, at the real programs. */
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
import { configuration, play, tryOf, way } from '../support/platform-servers.js';
import { listUp, systemUp, type ListEntry } from '../support/platform-system.js';

const outside = suite("the users' names: settings, orders, headers, statuses and paths");

const askedOf = (server: TestServer, attempt: string): ReceivedRequest => {
  const asked = server.seen.find((one) => tryOf(one) === attempt);
  if (!asked) throw new Error(`no request ${attempt} came`);
  return asked;
};
let engine: TestServer;
let tool: TestServer;
let spare: TestServer;
let entries: readonly ListEntry[] = [];
let list: Awaited<ReturnType<typeof listUp>>;
let system: Awaited<ReturnType<typeof systemUp>>;

const order = (
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

const readiness = async (): Promise<number> =>
  (await call(system.ports.ready, 'GET', '/readiness').catch(() => ({ status: 0 }))).status;

const entry = (
  serverId: string,
  depot: string,
  port: number,
  state: ListEntry['state'] = 'accepting',
) => ({ serverId, depot, address: `127.0.0.1:${port}`, state });

outside.before(async () => {
  engine = await startServer(play);
  tool = await startServer(play);
  spare = await startServer(play);
  entries = [
    entry('i-engine', 'engines', engine.port),
    entry('i-tool', 'tools', tool.port),
    entry('i-going', 'tools', spare.port, 'winding_down'),
    entry('i-spare', 'spares', spare.port),
  ];
  list = await listUp(() => entries);
  system = await systemUp(list.port);
});

outside.after(async () => {
  await system.close();
  list.close();
  for (const server of [engine, tool, spare]) server.close();
});

outside('a front answers 503 at /readiness before a configuration is in force', async () => {
  await until('the front listens', 20000, async () => (await readiness()) !== 0);
  assert.is(await readiness(), 503);
});

outside('GET /configuration and PATCH say that there is none; PUT needs If-Match', async () => {
  await until('a master', 30000, async () => {
    const heard = await call(system.ports.control, 'GET', '/configuration').catch(() => undefined);
    return heard?.status === 404;
  });
  assert.is((await order('PUT', undefined, configuration(3))).status, 400);
  assert.is((await order('PATCH', 0, { edition: 4 })).status, 412);
});

outside('PUT /configuration: 200, again 200, another on the same version 412', async () => {
  const first = JSON.stringify(configuration(5));
  await until('taken', 20000, async () => (await order('PUT', 0, first)).status === 200);
  assert.is((await order('PUT', 0, first)).status, 200);
  assert.is((await order('PUT', 0, configuration(6))).status, 412);
  const read = await call(system.ports.control, 'GET', '/configuration');
  assert.is(read.status, 200);
  assert.is(headerOf(read.headers, 'content-type'), 'application/json');
  assert.is(read.body.toString(), first);
});

outside('a configuration that cannot be read, or breaks a rule, is answered 400', async () => {
  const bad: readonly (object | string)[] = [
    '{"edition":',
    { edition: 7 },
    configuration(7, { ways: [way('a', 'streamed', 'nowhere')] }),
    configuration(7, {
      ways: [way('a', 'streamed', 'tools'), { ...way('a', 'streamed', 'tools'), name: 'b' }],
    }),
    configuration(7, { ways: [{ ...way('a', 'streamed', 'tools'), deadlineMs: 0 }] }),
    configuration(7, { ways: [{ ...way('a', 'streamed', 'tools'), wayKind: 'unheard' }] }),
    configuration(7, {
      ways: [
        {
          ...way('a', 'streamed', 'tools'),
          depot: undefined,
          dispatch: [{ depot: 'tools', share: 0 }],
        },
      ],
    }),
    configuration(5),
  ];
  for (const body of bad)
    assert.is((await order('PUT', 5, body)).status, 400, JSON.stringify(body));
});

outside('PATCH /configuration: edition, upsert, remove and intakeLimits', async () => {
  const patch = {
    edition: 9,
    upsert: {
      ways: [way('split', 'repeatable', 'tools', { dispatch: [{ depot: 'tools', share: 90 }] })],
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
  assert.is((await order('PATCH', 5, patch)).status, 200);
  assert.is((await order('PATCH', 5, patch)).status, 200);
  assert.is((await order('PATCH', 5, { ...patch, edition: 10 })).status, 412);
  const read = jsonOf(await call(system.ports.control, 'GET', '/configuration'));
  const before = configuration(5);
  assert.equal(read, {
    ...before,
    edition: 9,
    ways: [...before.ways.filter((w) => w.name !== 'quick'), ...patch.upsert.ways],
    depots: before.depots.map((d) => (d.name === 'spares' ? patch.upsert.depots[0] : d)),
    intakeLimits: patch.intakeLimits,
  });
  assert.is((await order('PUT', 9, configuration(11))).status, 200);
});

outside('a front in touch answers 200 at /readiness, and 503 at any other path', async () => {
  await until('ready', 20000, async () => (await readiness()) === 200);
  assert.is((await call(system.ports.ready, 'GET', '/live')).status, 503);
});

outside(
  'the list of servers is asked page by page, and servers of `state` accepting serve',
  async () => {
    await until('served', 20000, async () => (await send('/again/x', 'warm-up')).status === 200);
    assert.ok(list.asked.includes('/servers'));
    assert.ok(list.asked.includes('/servers?pageToken=1'));
    assert.is(spare.seen.length, 0);
  },
);

outside('a request goes on with its headers, and Expect-Server and Time-Left-Ms set', async () => {
  const headers = [
    ...['Content-Type', 'text/x-own', 'X-Own', 'a', 'Model', 'm', 'Session', 's1'],
    ...['Program-Time-Left', '5200', 'Connection', 'x-hop', 'X-Hop', 'gone'],
    ...['Expect-Server', 'someone-else'],
  ];
  const heard = await send('/again/deed?q=1', 'try-1', headers, 'a body');
  assert.is(heard.status, 200);
  assert.is(heard.body.toString(), 'did a body');
  for (const [name, value] of [
    ['try-id', 'try-1'],
    ['server-seal', 'seal.1'],
    ['x-own', 'kept'],
  ] as const)
    assert.is(headerOf(heard.headers, name), value);
  const asked = askedOf(tool, 'try-1');
  assert.is(asked.method, 'POST');
  assert.is(asked.path, '/again/deed?q=1');
  const sent = asked.headers;
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
    assert.is(headerOf(sent, name), value, name);
  const left = Number(headerOf(sent, 'time-left-ms'));
  assert.ok(left > 0 && left <= 3000, String(left));
});

outside('the time handed to a server is bounded by `deadlineMs` too', async () => {
  const before = Date.now();
  const heard = await send('/quick/silent', 'try-quick');
  assert.ok(Date.now() - before < 3000);
  assert.is(heard.status, 502);
  const asked = askedOf(tool, 'try-quick');
  assert.ok(Number(headerOf(asked.headers, 'time-left-ms')) <= 300);
});

outside('what a server says of a request: Not-Run, 421, Server-Seal', async () => {
  const sentOn = (attempt: string): number => tool.seen.filter((a) => tryOf(a) === attempt).length;
  for (const deed of ['full', 'other']) {
    const heard = await send(`/once/${deed}`, `try-${deed}`);
    assert.is(heard.status, 503, deed);
    assert.ok(Number(headerOf(heard.headers, 'retry-after')) > 0);
    assert.is(headerOf(heard.headers, 'server-seal'), '');
    assert.is(sentOn(`try-${deed}`), 1);
  }
  for (const deed of ['overloaded', 'unsealed'])
    assert.is((await send(`/once/${deed}`, `try-${deed}`)).status, 502, deed);
  const failed = await send('/once/failed', 'try-failed');
  assert.is(failed.status, 500);
  assert.is(failed.body.toString(), 'failed here');
  assert.is(headerOf(failed.headers, 'server-seal'), 'seal.1');
});

outside('refusals of a front: 400, 404, 413, 431', async () => {
  const plain = (path: string, headers: readonly string[], body = ''): Promise<ReceivedResponse> =>
    call(system.ports.front, 'POST', path, headers, body);
  assert.is((await plain('/again/x', [])).status, 400);
  assert.is((await plain('/nowhere/x', ['Try-Id', 'n'])).status, 404);
  assert.is((await plain('/again/x', ['Try-Id', 'b'], 'y'.repeat(5001))).status, 413);
  assert.is((await plain('/again/x', ['Try-Id', 'h', 'X', 'y'.repeat(2001)])).status, 431);
});

outside(
  'an operation with Operation-Key runs once: repeats get its answer, 409 while it runs',
  async () => {
    const key = ['Operation-Key', 'k-1'];
    const first = await send('/keyed/x', 'try-k1', key, 'order');
    const second = await send('/keyed/x', 'try-k2', key, 'order');
    assert.is(first.status, 200);
    assert.is(second.status, 200);
    assert.is(second.body.toString(), first.body.toString());
    assert.is(headerOf(second.headers, 'server-seal'), 'seal.1');
    const runs = tool.seen.filter((a) => headerOf(a.headers, 'operation-key') === 'k-1');
    assert.is(runs.length, 1);
    assert.is((await send('/keyed/x', 'try-k3')).status, 400);
    const silent = send('/keyed/silent', 'try-k4', ['Operation-Key', 'k-2']);
    await until('under way', 5000, () =>
      Promise.resolve(tool.seen.some((a) => headerOf(a.headers, 'operation-key') === 'k-2')),
    );
    const again = await call(
      system.ports.front,
      'POST',
      '/keyed/silent',
      ['Try-Id', 'try-k5', 'Operation-Key', 'k-2', 'Time-Left-Ms', '200'],
      'x',
    );
    assert.is(again.status, 409);
    assert.is((await silent).status, 502);
  },
);

const events = 'id: 1\ndata: one\n\nid: 2\ndata: two\n\n';

outside('turns: Previous-Turn, Program, Token-Budget, Token-Count and Prompt-Prefix', async () => {
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
  const asked = askedOf(engine, 't-2');
  assert.is(asked.body.toString(), 'Helloone\ntwo\n Next');
  assert.is(headerOf(asked.headers, 'token-count'), '10,20');
  assert.is(headerOf(asked.headers, 'program'), 'p1');
  assert.is((await turn('t-3', 't-none', 'x')).status, 404);
  // Two turns of two events, ten tokens each (`strideTokens`), are charged: 40.
  assert.is((await turn('t-4', 't-2', 'x', 59)).status, 402);
  assert.is((await turn('t-5', 't-2', 'x', 60)).status, 200);
});

outside('a stream on a `resumable` route carries Last-Event-Id on', async () => {
  const heard = await send('/live/x', 'l-1', ['Last-Event-Id', '12', 'Token-Count', '10,20']);
  assert.is(heard.status, 200);
  const asked = askedOf(engine, 'l-1');
  assert.is(headerOf(asked.headers, 'last-event-id'), '12');
});

outside(
  'POST and GET /retire/NODE: 409 when too few would be left, 404 for an unknown one',
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
    const shown = await retire('GET', 'vault-1');
    assert.is(shown.status, 200);
    assert.equal(jsonOf(shown), { state: 'in_service' });
    assert.is((await call(system.ports.control, 'GET', '/elsewhere')).status, 404);
  },
);

outside(
  'a front that is stopped says Connection: close and 503 at /readiness, and ends with 0',
  async () => {
    const front = system.started.find(({ role }) => role === 'front-proxy');
    const agent = system.started.find(({ role }) => role === 'front-agent');
    assert.ok(front && agent);
    const over = Promise.all([front, agent].map((one) => once(one.child, 'exit')));
    front.child.kill('SIGTERM');
    // The agent is in touch still, so only the front itself knows that it stops.
    await until('not ready', 4000, async () => (await readiness()) === 503);
    agent.child.kill('SIGTERM');
    const heard = await send('/again/x', 'last');
    assert.is(heard.status, 200);
    assert.is(headerOf(heard.headers, 'connection'), 'close');
    for (const ended of await over) assert.equal(ended, [0, null]);
  },
);

outside.run();
