import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Outcome } from '@tillerstair/control';
import { freePorts } from '@tillerstair/fleet';
import { OperatorDesk, operatorPage } from '@tillerstair/platform';
import { World } from '@tillerstair/sim';
import { compiledOf, routeFor, routesOf } from '@tillerstair/state';
import { serveHttp } from '@tillerstair/wire';
import { configText, small } from './util.js';

const operator = suite('the operator');

const way = (name: string, more: object = {}) => ({
  name, host: 'a.example', pathPrefix: `/${name}/`, wayKind: 'streamed', deadlineMs: 4000, targetMs: 200, urgency: 0, depot: 'd1', tries: 1,
  retained: false, retainS: 60, pinned: true, resumable: true, gapTargetMs: 250, ...more,
});
const engine = { berths: 32, cacheTokens: 994921, cacheTokenBytes: 35136, linkMbps: 2200000, strideTokens: 20, models: [{ name: 'm' }] };
const depot = (name: string, more: object = {}) => ({
  name, healthPath: '/health', connLimit: 240, protocol: 'h1', tlsMode: false, selfDedupes: false, ...more,
});
const whole = (edition: number, more: object = {}) => ({
  edition,
  ways: [
    way('r1'),
    way('r2', { wayKind: 'keyed_once', urgency: 3, depot: null, dispatch: [{ depot: 'd1', share: 90 }, { depot: 'd2', share: 10 }], retained: true }),
  ],
  depots: [depot('d1', { engine }), depot('d2', { selfDedupes: true })],
  intakeLimits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerWaitMs: 3000, idleCloseMs: 15000 },
  ...more,
});
const text = (v: unknown): string => JSON.stringify(v);

const up = async (seed: number, sizes = small): Promise<World> => {
  const w = new World(seed, sizes);
  w.start();
  await w.clock.until('a master', () => w.master !== undefined, 12000);
  const all = sizes.controls + sizes.stores + sizes.fronts;
  await w.clock.until('all nodes', () => w.committed?.nodes.size === all, 12000);
  return w;
};

const deskOf = (w: World, n?: number) => {
  const node = n === undefined ? w.master?.control : w.of('control')[n]?.control;
  if (!node) throw new Error('no control');
  const desk = new OperatorDesk((o) => node.operate(o));
  return {
    change: (method: 'PUT' | 'PATCH', base: number | string, body: unknown): Promise<Outcome> =>
      w.clock.finish(method, desk.change(method, String(base), typeof body === 'string' ? body : text(body)), 30000),
    read: () => w.clock.finish('GET', desk.read(), 30000),
    retire: (method: 'POST' | 'GET', node: string) => w.clock.finish(method, desk.retire(method, node), 30000),
  };
};

operator('versions go up in uneven steps, and what was sent is read back word for word at any control', async () => {
  const w = await up(41);
  const desk = deskOf(w);
  const empty = await desk.read();
  assert.is(typeof empty === 'string' ? 200 : empty.status, 404);
  const first = `${JSON.stringify(whole(3), null, 1)}\n`;
  assert.is((await desk.change('PUT', 0, first)).status, 200);
  assert.is(w.committed?.config?.version, 3);
  assert.is((await desk.change('PUT', 3, whole(11))).status, 200);
  assert.is((await desk.change('PUT', 3, whole(12))).status, 412);
  assert.is((await desk.change('PUT', 0, whole(1))).status, 412);
  for (const n of [0, 1, 2]) assert.is(await deskOf(w, n).read(), text(whole(11)));
  assert.is(w.committed?.config?.version, 11);
});

operator('the same order again is taken, also after a later one; another one on the same base is not', async () => {
  const w = await up(42);
  const desk = deskOf(w);
  assert.is((await desk.change('PUT', 0, whole(2))).status, 200);
  assert.is((await desk.change('PUT', 0, whole(2))).status, 200);
  const patch = { edition: 5, upsert: { ways: [way('r3')] }, remove: { ways: ['r1'] } };
  for (const n of [0, 1, 2]) assert.is((await deskOf(w, n).change('PATCH', 2, patch)).status, 200);
  assert.is((await desk.change('PATCH', 2, { ...patch, edition: 6 })).status, 412);
  assert.is((await desk.change('PUT', 5, whole(9))).status, 200);
  for (const again of [await desk.change('PUT', 0, whole(2)), await desk.change('PATCH', 2, patch), await desk.change('PUT', 5, whole(9))])
    assert.is(again.status, 200);
  assert.is((await desk.change('PUT', 0, whole(2, { intakeLimits: undefined }))).status, 412);
  assert.is(w.committed?.config?.version, 9);
  assert.is(await desk.read(), text(whole(9)));
  w.master?.kill('power');
  await w.clock.until('a new master', () => w.master !== undefined, 20000);
  assert.is((await deskOf(w).change('PATCH', 2, patch)).status, 200);
  assert.is(w.committed?.config?.version, 9);
});

operator('of two orders on one base one wins', async () => {
  for (const seed of [43, 44, 45]) {
    const w = await up(seed);
    assert.is((await deskOf(w).change('PUT', 0, whole(1))).status, 200);
    const nodes = w.of('control').flatMap((m) => m.control ?? []);
    const race = nodes.map((node, i) => {
      const desk = new OperatorDesk((o) => node.operate(o));
      return i === 0 ? desk.change('PATCH', '1', text({ edition: 4, upsert: { ways: [way('r9')] } })) : desk.change('PUT', '1', text(whole(4 + i)));
    });
    const got = (await w.clock.finish('race', Promise.all(race), 30000)).map((o) => o.status);
    assert.equal([...got].sort(), [200, 412, 412]);
    assert.is(w.committed?.config?.version, 4 + got.indexOf(200));
  }
});

operator('a patch puts items in their places, adds and removes by name, and keeps unknown fields', async () => {
  const w = await up(46);
  const desk = deskOf(w);
  assert.is((await desk.change('PUT', 0, whole(1, { note: { a: [1] } }))).status, 200);
  const r1 = way('r1', { deadlineMs: 900, depot: 'd3' });
  const patch = { edition: 4, upsert: { ways: [way('r3'), r1], depots: [depot('d3')] }, remove: { ways: ['r2', 'none'], depots: ['d2'] } };
  assert.is((await desk.change('PATCH', 1, patch)).status, 200);
  const want = { ...whole(4), ways: [r1, way('r3')], depots: [depot('d1', { engine }), depot('d3')], note: { a: [1] } };
  assert.equal(JSON.parse(String(await desk.read())), JSON.parse(text(want)));
  const config = compiledOf(w.committed?.config);
  assert.equal(config?.routes.map((l) => l.name), ['r1', 'r3']);
  assert.is(config?.routes[0]?.pass?.deadlineMs, 900);
  const first = await deskOf(await up(47)).change('PATCH', 0, patch);
  assert.is(first.status, 412);
});

operator('what the platform says of routes and services stands in the product\'s own words', async () => {
  const w = await up(48);
  assert.is((await deskOf(w).change('PUT', 0, whole(1))).status, 200);
  const config = compiledOf(w.committed?.config);
  if (!config) throw new Error('no configuration');
  const [a, b] = config.routes;
  assert.equal(a?.pass, { manner: 'stream', tries: 1, deadlineMs: 4000, aimMs: 200, rank: 0, turnRetentionMs: 0, resumable: true, pauseMs: 250 });
  assert.is(a?.urgent, true);
  assert.equal(a?.shares, [{ pool: 'd1', share: 1 }]);
  assert.is(b?.pass?.manner, 'keyed');
  assert.is(b?.pass?.turnRetentionMs, 60000);
  assert.is(b?.pass?.rank, 3);
  assert.is(b?.urgent, false);
  assert.equal(b?.shares, [{ pool: 'd1', share: 90 }, { pool: 'd2', share: 10 }]);
  assert.equal(config.pools, [
    { name: 'd1', kind: 'model', connections: 240, remembersKeys: false, check: '/health', engine: { places: 32, memoryTokens: 994921, blockTokens: 20 } },
    { name: 'd2', kind: 'service', connections: 240, remembersKeys: true, check: '/health' },
  ]);
  assert.equal(config.limits, { headerBytes: 16384, bodyBytes: 4194304, headerWaitMs: 3000, idleMs: 15000 });
  assert.is(routeFor(routesOf(config), 'pass', 'a.example/r2/x/y')?.name, 'r2');
  assert.not.match(w.committed?.config?.compiled ?? '', 'cacheTokens');
});

operator('an invalid configuration is refused whole, with findings', async () => {
  const w = await up(49);
  const desk = deskOf(w);
  assert.is((await desk.change('PUT', 0, whole(5))).status, 200);
  const bad: readonly (readonly [string, unknown])[] = [
    ['not JSON', '{"edition": 7, "ways": ['],
    ['no depots', { edition: 7, ways: [] }],
    ['unknown service', whole(7, { ways: [way('r1', { depot: 'none' })] })],
    ['unknown service in shares', whole(7, { ways: [way('r1', { depot: undefined, dispatch: [{ depot: 'd1', share: 1 }, { depot: 'x', share: 0 }] })] })],
    ['no service', whole(7, { ways: [way('r1', { depot: undefined })] })],
    ['same host and prefix', whole(7, { ways: [way('r1'), way('r5', { pathPrefix: '/r1/', host: 'A.example' })] })],
    ['weights of 0', whole(7, { ways: [way('r1', { depot: undefined, dispatch: [{ depot: 'd1', share: 0 }, { depot: 'd2', share: 0 }] })] })],
    ['no deadline', whole(7, { ways: [way('r1', { deadlineMs: 0 })] })],
    ['the current edition', whole(5, { intakeLimits: undefined })],
    ['an edition below', whole(4)],
  ];
  for (const [what, body] of bad) assert.is((await desk.change('PUT', 5, body)).status, 400, what);
  assert.match(text((await desk.change('PUT', 5, bad[2]?.[1])).body), 'pool none is not in this file');
  const patches = [{ edition: 7, remove: { depots: ['d1'] } }, { edition: 5, remove: { ways: ['r1'] } }, { edition: 7, upsert: { ways: [way('r1', { deadlineMs: 0 })] } }, '{'];
  for (const p of patches) assert.is((await desk.change('PATCH', 5, p)).status, 400, text(p));
  assert.is((await desk.change('PUT', 'five', whole(7))).status, 400);
  assert.is(await desk.read(), text(whole(5)));
  assert.is((await desk.change('PUT', 5, whole(7))).status, 200);
});

operator('a configuration of ten thousand routes is taken and read back', async () => {
  const w = await up(50);
  const big = whole(1, { ways: Array.from({ length: 10000 }, (_, i) => way(`r${i}`)) });
  assert.ok(text(big).length > 2 << 20);
  const desk = deskOf(w);
  assert.is((await desk.change('PUT', 0, big)).status, 200);
  assert.is(await desk.read(), text(big));
});

operator('an order without a master is put off, and one whose end is unknown says so', async () => {
  const w = await up(51);
  assert.is((await deskOf(w).change('PUT', 0, whole(1))).status, 200);
  const [a, b, c] = w.of('control');
  const alone = [a, b, c].find((m) => m !== w.master);
  for (const m of [a, b, c]) if (m !== alone) m?.kill('power');
  await w.clock.run(8000);
  const node = alone?.control;
  if (!node) throw new Error('no control');
  const desk = new OperatorDesk((o) => node.operate(o));
  const put = await w.clock.finish('PUT', desk.change('PUT', '1', text(whole(2))), 30000);
  assert.is(put.status, 503);
  assert.ok((put.retryAfter ?? 0) > 0);
  const read = await w.clock.finish('GET', desk.read(), 30000);
  assert.is(typeof read === 'string' ? 200 : read.status, 503);
  const late = new OperatorDesk(async () => ({ status: 504, body: { executed: 'unknown' } }));
  assert.is((await late.change('PUT', '1', text(whole(2)))).status, 504);
});

operator('a store is emptied by its name; unknown ones and too few are told apart', async () => {
  const w = await up(52, { controls: 3, stores: 4, fronts: 2 });
  await w.operate('PUT', '/v1/config', configText(0));
  await w.clock.until('replicas', () => w.committed?.slots.every((s) => s.replicas.length === 3) ?? false, 20000);
  const desk = deskOf(w);
  const name = 'store-number-1';
  assert.is((await desk.retire('POST', 'nobody')).status, 404);
  assert.is((await desk.retire('GET', 'nobody')).status, 404);
  assert.is((await desk.retire('GET', 'front-number-0')).status, 404);
  assert.equal((await desk.retire('GET', name)).body, { state: 'in_service' });
  const at = w.clock.now();
  assert.is((await desk.retire('POST', name)).status, 200);
  assert.is((await desk.retire('POST', name)).status, 200);
  assert.is((await desk.retire('POST', 'store-number-2')).status, 409);
  const id = w.at('store-1').store?.id ?? 'none';
  await w.clock.until('emptied', () => w.committed?.slots.every((s) => !s.replicas.includes(id) && s.joiningReplicas.length === 0) ?? false, 6000);
  assert.ok(w.clock.now() - at < 6000);
  assert.equal((await desk.retire('GET', name)).body, { state: 'delivered' });
  w.at('store-1').kill('power');
  await w.clock.until('away', () => !w.committed?.nodes.has(id), 20000);
  assert.equal((await desk.retire('GET', name)).body, { state: 'delivered' });
  assert.is((await desk.retire('POST', name)).status, 200);
  w.master?.kill('power');
  await w.clock.until('a new master', () => w.master !== undefined, 20000);
  assert.equal((await deskOf(w).retire('GET', name)).body, { state: 'delivered' });
});

operator('the page speaks the platform\'s dialect', async () => {
  const asked: string[] = [];
  const outcomes = new Map<string, Outcome>([
    ['PUT /v1/config', { status: 409, body: {} }],
    ['GET /v1/config', { status: 200, body: { version: 4, text: text({ origin: '{"edition":4}' }), changeId: '' } }],
    ['POST /v1/config/prepare', { status: 409, body: {} }],
    ['POST /v1/stores/a%20b/empty', { status: 200, body: { done: false } }],
    ['GET /v1/stores/a%20b/empty', { status: 503, body: {} }],
  ]);
  const [port = 0] = await freePorts(1);
  const server = await serveHttp(`127.0.0.1:${port}`, operatorPage(async (o) => {
    asked.push(`${o.method} ${o.path}`);
    return outcomes.get(`${o.method} ${o.path}`) ?? { status: 404, body: {} };
  }));
  try {
    const ask = (method: string, path: string, body?: string) =>
      fetch(`http://127.0.0.1:${port}${path}`, { method, headers: { 'If-Match': '3', connection: 'close' }, ...(body === undefined ? {} : { body }) });
    const pad = ' '.repeat(5 << 20);
    assert.is((await ask('PUT', '/configuration', text(whole(4)) + pad)).status, 412);
    const read = await ask('GET', '/configuration');
    assert.is(read.status, 200);
    assert.is(read.headers.get('content-type'), 'application/json');
    assert.is(await read.text(), '{"edition":4}');
    const post = await ask('POST', '/retire/a%20b', '{"overS":10}');
    assert.is(post.status, 200);
    assert.equal(await post.json(), { state: 'in_service' });
    const away = await ask('GET', '/retire/a%20b');
    assert.is(away.status, 503);
    assert.is(away.headers.get('retry-after'), '1');
    assert.is((await ask('GET', '/retire/none')).status, 404);
    assert.is((await ask('DELETE', '/configuration')).status, 404);
    assert.is((await ask('PATCH', '/configuration', '{"edition":9}')).status, 412);
    assert.is((await ask('PATCH', '/configuration', '{')).status, 400);
    assert.is(asked.length, 6);
  } finally {
    server.close();
  }
});

operator.run();
