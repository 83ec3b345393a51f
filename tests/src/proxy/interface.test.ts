/** Pins the product's own `/v1` interface with the real programs: paths, methods, statuses, keys and headers. */
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { ask, Fleet, seoul, until } from '@tillerstair/fleet';
import { passHost } from '@tillerstair/sim';
import {
  startServer,
  type ReceivedRequest,
  type ReceivedResponse,
  type TestServer,
} from '../support/http-server.js';
import {
  assertKeys,
  assertRefused,
  call,
  fieldsOf,
  headerOf,
  jsonOf,
} from '../support/interface-calls.js';
import { configText, respondAsServer } from '../support/v1-servers.js';

const api = suite("the product's own interface: callers, operators and servers");

const fleet = new Fleet({
  dir: join(tmpdir(), `tillerstair-v1-${process.pid}`),
  sizes: { controls: 3, stores: 3, fronts: 1 },
  house: { ...seoul, models: 0, services: 0 },
  withRelay: false,
  affinity: true,
  log: 'info',
});

let server: TestServer;
let frontPort = 0;

const portOf = (addr = ''): number => Number(addr.slice(addr.lastIndexOf(':') + 1));
const front = (
  method: string,
  path: string,
  body = '',
  headers: readonly string[] = [],
): Promise<ReceivedResponse> => call(frontPort, method, path, headers, body);
const operator = (method: 'GET' | 'PUT' | 'POST' | 'DELETE', path: string, body = '') =>
  fleet.operator.request(method, path, body);
const refusedWith = (reply: { status: number; body: unknown }, status: number, code: string) => {
  assert.is(reply.status, status, JSON.stringify(reply.body));
  const fields = fieldsOf(reply.body);
  assert.is(fields.get('executed'), 'no');
  assert.is(fields.get('errorCode'), code);
  assert.type(fields.get('text'), 'string');
  return fields;
};

const requestFor = (path: string, requestId: string): ReceivedRequest => {
  const received = server.seen.find(
    (request) => request.path === path && request.attempt === requestId,
  );
  if (!received) throw new Error(`no request ${requestId} arrived for ${path}`);
  return received;
};
const bodyFor = (path: string, requestId: string): unknown =>
  JSON.parse(requestFor(path, requestId).body.toString());

api.before(async () => {
  server = await startServer(respondAsServer);
  await fleet.build();
  fleet.start();
  frontPort = portOf(fleet.fronts[0]);
  await until('a front', 20000, async () => {
    const response = await call(frontPort, 'GET', '/live').catch(() => undefined);
    return response?.status === 200;
  });
});

api.after(async () => {
  await fleet.close();
  server.close();
});

api('/live and /ready, and 503 not-ready before there is a configuration', async () => {
  assert.equal(jsonOf(await front('GET', '/live')), { live: true });
  const ready = await front('GET', '/ready');
  assert.is(ready.status, 503);
  assertKeys(jsonOf(ready), ['ready', 'why']);
  const response = await front('POST', '/v1/programs', '{}');
  assertRefused(response, 503, 'not-ready');
  assert.is(headerOf(response.headers, 'retry-after'), '1');
});

api('PUT /v1/config: 200, 409 wrong-base with the current version, 422 findings', async () => {
  await until('a master', 30000, async () => (await operator('GET', '/v1/status')).status === 200);
  refusedWith(await operator('GET', '/v1/config'), 404, 'missing');
  const first = configText(0);
  const accepted = await operator('PUT', '/v1/config', first);
  assert.is(accepted.status, 200);
  assertKeys(accepted.body, ['version', 'digest']);
  assert.is((await operator('PUT', '/v1/config', first)).status, 200);
  const conflict = refusedWith(
    await operator('PUT', '/v1/config', configText(0, 'x')),
    409,
    'wrong-base',
  );
  assert.is(conflict.get('current'), 1);
  const invalid = refusedWith(await operator('PUT', '/v1/config', '{}'), 422, 'findings');
  const findings = invalid.get('findings');
  assert.ok(Array.isArray(findings) && findings.length > 0);
  if (Array.isArray(findings)) assertKeys(findings[0], ['place', 'text']);
  const read = await operator('GET', '/v1/config');
  assertKeys(read.body, ['version', 'text', 'digest', 'changeId']);
  assert.is(fieldsOf(read.body).get('text'), first);
  const prepareChange = (base: number, version: number) =>
    operator('POST', '/v1/config/prepare', JSON.stringify({ base, version, changeId: 'c' }));
  assert.equal((await prepareChange(1, 2)).body, { taken: false, text: first });
  refusedWith(await prepareChange(0, 2), 409, 'wrong-base');
  const second = configText(1).replace('{', '{"changeId":"c","version":2,');
  assert.is((await operator('PUT', '/v1/config', second)).status, 200);
  assert.equal((await prepareChange(1, 2)).body, { taken: true, version: 2 });
  refusedWith(await operator('POST', '/v1/config/prepare', '{}'), 422, 'findings');
});

api('/v1/servers: PUT, POST draining, DELETE', async () => {
  const serverText = (pool: string): string =>
    JSON.stringify({ pool, url: `http://127.0.0.1:${server.port}` });
  for (const [id, pool] of [
    ['m1', 'models'],
    ['s1', 'shop'],
    ['x1', 'shop'],
  ] as const) {
    const put = await operator('PUT', `/v1/servers/${id}`, serverText(pool));
    assert.is(put.status, 200);
    assertKeys(put.body, ['id', 'pool', 'url', 'draining', 'down', 'zone', 'places']);
  }
  const drained = await operator('POST', '/v1/servers/x1/draining');
  assert.is(drained.status, 200);
  assert.is(fieldsOf(drained.body).get('draining'), true);
  assert.equal((await operator('DELETE', '/v1/servers/x1')).body, { id: 'x1', gone: true });
  refusedWith(await operator('POST', '/v1/servers/none/draining'), 404, 'missing');
  refusedWith(await operator('PUT', '/v1/servers/y', '{'), 400, 'bad-json');
  refusedWith(await operator('PUT', '/v1/servers/y', '{"pool":"shop","url":"x"}'), 422, 'findings');
  refusedWith(await operator('GET', '/v1/servers/m1'), 405, 'no-such-operation');
  refusedWith(await operator('GET', '/v1/elsewhere'), 404, 'no-such-page');
  await until('the front is ready', 30000, () => fleet.ready('front'));
});

api('/v1/status, /v1/margin and /v1/view have their keys', async () => {
  const status = await operator('GET', '/v1/status');
  assertKeys(status.body, [
    ...['clusterId', 'term', 'version', 'master', 'controls', 'config', 'nodes', 'servers'],
    ...['stores', 'slots', 'weights'],
  ]);
  assertKeys(fieldsOf(status.body).get('config'), ['version', 'digest']);
  assertKeys(fieldsOf(status.body).get('controls'), ['current', 'next']);
  assertKeys(fieldsOf(status.body).get('slots'), ['count', 'owned', 'joiningReplicas']);
  const margin = await operator('GET', '/v1/margin');
  assertKeys(margin.body, ['replication', 'voters', 'leastSlotMargin', 'slots']);
  assertKeys(fieldsOf(margin.body).get('voters'), ['voting', 'live', 'changing', 'margin']);
  assertKeys(fieldsOf(margin.body).get('replication'), ['replicas', 'quorum']);
  const https = [
    ...fleet.machinesOf('control').map((machine) => machine.http),
    ...fleet.machinesOf('store').map((machine) => machine.http),
    ...fleet.fronts,
    String(fieldsOf(fleet.machinesOf('front')[0]?.processes[1]?.settings).get('http')),
  ];
  for (const http of https) {
    const view = await ask('GET', `http://${http}/v1/view`);
    assert.is(view.status, 200, http);
    assertKeys(view.body, ['id', 'kind', 'term', 'master', 'applied', 'facts']);
    assertKeys(fieldsOf(view.body).get('applied'), ['term', 'version']);
  }
  assert.is((await front('GET', '/v1/sizes')).status, 200);
  const counts = await ask('GET', `http://${fleet.machinesOf('store')[0]?.http}/v1/counts`);
  assert.is(counts.status, 200);
});

api('/v1/stores/STORE/empty, /v1/fronts/FRONT/drain and /v1/controls/NODE', async () => {
  const addr = (kind: 'control' | 'store' | 'front'): string =>
    fleet.machinesOf(kind)[0]?.addr ?? '';
  const store = encodeURIComponent(addr('store'));
  const emptyingKeys = ['store', 'retiring', 'slotsHeld', 'slotsJoining', 'done'];
  refusedWith(await operator('POST', `/v1/stores/${store}/empty`), 409, 'refused');
  refusedWith(await operator('POST', '/v1/stores/none/empty'), 404, 'missing');
  for (const method of ['GET', 'DELETE'] as const) {
    const reply = await operator(method, `/v1/stores/${store}/empty`);
    assert.is(reply.status, 200);
    assertKeys(reply.body, emptyingKeys);
  }
  const frontId = encodeURIComponent(addr('front'));
  refusedWith(await operator('POST', `/v1/fronts/${frontId}/drain`), 409, 'refused');
  const cancelled = await operator('DELETE', `/v1/fronts/${frontId}/drain`);
  assert.is(cancelled.status, 200);
  assertKeys(cancelled.body, ['front', 'retiring', 'slotsHeld']);
  refusedWith(await operator('POST', '/v1/controls/none'), 404, 'missing');
  refusedWith(await operator('DELETE', '/v1/controls/none'), 404, 'missing');
  refusedWith(await operator('POST', `/v1/controls/${store}`), 409, 'refused');
});

const programOf = (response: ReceivedResponse): string =>
  String(fieldsOf(jsonOf(response)).get('program'));

api('programs: POST 201 and GET, visible to their tenant only', async () => {
  const created = await front('POST', '/v1/programs', '{"budget":40}', ['X-Tenant', 'a']);
  assert.is(created.status, 201);
  assert.is(headerOf(created.headers, 'content-type'), 'application/json');
  const program = programOf(created);
  assert.equal(jsonOf(created), { program, budget: 40 });
  const helper = await front('POST', '/v1/programs', JSON.stringify({ parent: program }), [
    'X-Tenant',
    'a',
  ]);
  assert.is(helper.status, 201);
  assertKeys(jsonOf(helper), ['program', 'budget']);
  const response = await front('GET', `/v1/programs/${program}`, '', ['X-Tenant', 'a']);
  assert.equal(jsonOf(response), { program, parent: null, budget: 40, spent: 0, turns: [] });
  assertRefused(await front('GET', `/v1/programs/${program}`), 404, 'missing');
  assertRefused(await front('GET', '/v1/programs/p-none'), 404, 'missing');
});

type SendTurn = (body: object, key: string) => Promise<ReceivedResponse>;

const createProgramWithBudget = async (): Promise<{
  readonly program: string;
  readonly turn: SendTurn;
}> => {
  const program = programOf(await front('POST', '/v1/programs', '{"budget":40}'));
  const turn: SendTurn = (body, key) =>
    front('POST', `/v1/programs/${program}/turns`, JSON.stringify(body), [
      ...['Operation-Key', key, 'X-Request-Id', `id-${key}`],
    ]);
  return { program, turn };
};

api('turns: lines of chunks, the end, and history', async () => {
  const { program, turn } = await createProgramWithBudget();
  const first = await turn({ words: 'hello', path: '/chat', maxTokens: 10 }, 'k1');
  assert.is(first.status, 200);
  assert.is(headerOf(first.headers, 'content-type'), 'application/x-ndjson');
  const lines = first.body
    .toString()
    .trimEnd()
    .split('\n')
    .map((line): unknown => JSON.parse(line));
  assert.equal(lines.slice(0, 2), [
    { n: 0, text: 'a ' },
    { n: 1, text: 'b' },
  ]);
  assert.is(lines.length, 3);
  assertKeys(lines[2], ['end']);
  const end = fieldsOf(fieldsOf(lines[2]).get('end'));
  assertKeys(fieldsOf(lines[2]).get('end'), ['turn', 'chunks', 'tokens', 'digest']);
  const received = requestFor('/v1/generate', 'id-k1');
  assert.is(received.method, 'POST');
  assertKeys(JSON.parse(received.body.toString()), ['id', 'messages', 'maxTokens']);
  assert.equal(fieldsOf(JSON.parse(received.body.toString())).get('messages'), [
    { role: 'user', text: 'hello' },
  ]);
  assert.is(
    (await turn({ words: 'hello', path: '/chat', maxTokens: 10 }, 'k1')).body.toString(),
    first.body.toString(),
  );
  assert.is((await turn({ words: 'next', after: end.get('turn') }, 'k2')).status, 200);
  assert.equal(fieldsOf(bodyFor('/v1/generate', 'id-k2')).get('messages'), [
    { role: 'user', text: 'hello' },
    { role: 'assistant', text: 'a b' },
    { role: 'user', text: 'next' },
  ]);
  const response = await front('GET', `/v1/programs/${program}/turns/${String(end.get('turn'))}`);
  assertKeys(jsonOf(response), ['turn', 'chunks', 'tokens', 'digest', 'after', 'words', 'text']);
  const history = await front('GET', `/v1/programs/${program}`);
  assertKeys(jsonOf(history), ['program', 'parent', 'budget', 'spent', 'turns']);
});

api('turns: refusals, and streams that broke off', async () => {
  const { turn } = await createProgramWithBudget();
  await turn({ words: 'hello' }, 'k1');
  assertRefused(await turn({ words: 'other' }, 'k1'), 422, 'other-body');
  assertRefused(await turn({ words: 'x', after: 't-none' }, 'k3'), 404, 'missing-turn');
  assertRefused(await turn({ words: 'x', path: '/nowhere' }, 'k4'), 404, 'no-route');
  assertRefused(await turn({}, 'k5'), 400, 'findings', 'no', ['findings']);
  const broken = await turn({ words: 'break' }, 'k6');
  assert.is(broken.status, 200);
  const last = broken.body.toString().trimEnd().split('\n').at(-1) ?? '';
  assertKeys(JSON.parse(last), ['partial', 'executed', 'errorCode', 'text']);
  assert.is(fieldsOf(JSON.parse(last)).get('errorCode'), 'broken-off');
  assertRefused(await turn({ words: 'break' }, 'k6'), 504, 'broken-off', 'unknown');
  for (let i = 0; i < 20; i++) await turn({ words: 'more' }, `more-${i}`);
  assertRefused(await turn({ words: 'spent' }, 'k9'), 402, 'budget-spent');
});

api(
  'tool calls: Operation-Key or Idempotency-Key, statuses of the service, and refusals',
  async () => {
    const buy = (
      path: string,
      body: string,
      ...headers: readonly string[]
    ): Promise<ReceivedResponse> =>
      front('POST', `/v1/calls${path}`, body, ['X-Tenant', 't/1', ...headers]);
    const first = await buy('/buy', '{"n":1}', 'Operation-Key', 'k 1', 'X-Request-Id', 'r1');
    assert.is(first.status, 200);
    assert.equal(jsonOf(first), { did: '/buy' });
    const received = requestFor('/v1/act', 'r1');
    assertKeys(JSON.parse(received.body.toString()), ['id', 'path', 'body']);
    assert.is(headerOf(received.headers, 'idempotency-key'), 't%2F1/k%201');
    assert.is((await buy('/buy', '{"n":1}', 'Idempotency-Key', 'k 1')).status, 200);
    assert.is(server.seen.filter((request) => request.path === '/v1/act').length, 1);
    assertRefused(await buy('/buy', '{"n":2}', 'Operation-Key', 'k 1'), 422, 'other-body');
    assertRefused(await buy('/buy', '{}'), 400, 'no-key');
    assertRefused(await buy('/buy', '{}', 'Operation-Key', 'k'.repeat(201)), 400, 'bad-key');
    assertRefused(await buy('/buy', '{'), 400, 'bad-json');
    assertRefused(await buy('/nowhere', '{}'), 404, 'no-route');
    assert.is((await buy('/see/refuse', '{}')).status, 418);
    assertRefused(await buy('/see/lose', '{}'), 504, 'unknown', 'unknown');
    const declined = await buy('/see/decline', '{}');
    assertRefused(declined, 503, 'no-server');
    assert.ok(Number(headerOf(declined.headers, 'retry-after')) > 0);
    const none = await buy('/none', '{}');
    assertRefused(none, 503, 'no-server');
    assert.ok(Number(headerOf(none.headers, 'retry-after')) > 0);
  },
);

api('missing endpoints, malformed paths and malformed bodies', async () => {
  assertRefused(await front('POST', '/v1/elsewhere', '{}'), 404, 'no-such-page');
  assertRefused(await front('DELETE', '/v1/programs/p'), 404, 'no-such-page');
  assertRefused(await front('POST', '/v1/programs/%zz/turns', '{}'), 400, 'bad-path');
  assertRefused(await front('POST', '/v1/programs', '{'), 400, 'bad-json');
  assertRefused(
    await front('POST', '/v1/programs', 'y'.repeat((1 << 20) + 1)),
    413,
    'body-too-large',
  );
});

api("pass routes: the product's own header names", async () => {
  const pass = (
    path: string,
    attempt: string,
    ...headers: readonly string[]
  ): Promise<ReceivedResponse> =>
    front('POST', path, 'body', [...(attempt === '' ? [] : ['X-Request-Id', attempt]), ...headers]);
  const response = await pass('/again/x?q', 'try-1', 'X-Time-Left-Ms', '3000', 'X-Own', 'a');
  assert.is(response.status, 200);
  assert.is(response.body.toString(), 'did body');
  const received = requestFor('/again/x?q', 'try-1');
  assert.is(headerOf(received.headers, 'host'), passHost);
  assert.is(headerOf(received.headers, 'x-expect-server'), 's1');
  assert.is(headerOf(received.headers, 'x-own'), 'a');
  assert.ok(Number(headerOf(received.headers, 'x-time-left-ms')) <= 3000);
  assertRefused(await pass('/again/x', ''), 400, 'no-try');
  assertRefused(await pass('/nowhere/x', 'try-2'), 404, 'no-route');
  assertRefused(await pass('/keyed/x', 'try-3'), 400, 'no-key');
  assert.is((await pass('/keyed/x', 'try-4', 'Operation-Key', 'k')).status, 200);
  assert.is((await pass('/keyed/x', 'try-5', 'Operation-Key', 'k')).status, 200);
  assert.is(server.seen.filter((request) => request.path === '/keyed/x').length, 1);
  assert.is(
    (await pass('/flow/x', 'try-6', 'X-Program', 'p', 'X-Token-Budget', '30', 'X-Tokens', '1,20'))
      .status,
    200,
  );
  assertRefused(
    await pass('/flow/x', 'try-7', 'X-Program', 'p', 'X-Token-Budget', '30', 'X-Tokens', '1,31'),
    402,
    'budget-spent',
  );
  assertRefused(
    await pass('/turn/x', 'try-8', 'X-Program', 'p', 'X-After', 'no-turn'),
    404,
    'missing-turn',
  );
});

api('a stopping front answers 503 stopping and closes the connection', async () => {
  const stopped = fleet.machinesOf('front');
  const frontStopped = fleet.stop(stopped, 'SIGTERM');
  await until('not ready', 5000, async () => (await front('GET', '/ready')).status === 503);
  const response = await front('POST', '/v1/programs', '{}');
  assertRefused(response, 503, 'stopping');
  assert.is(headerOf(response.headers, 'connection'), 'close');
  await frontStopped;
});

api.run();
