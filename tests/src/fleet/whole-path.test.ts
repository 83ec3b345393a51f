import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { ask, configFor, Fleet, seoul, smallSizes, until } from '@tillerstair/fleet';
import { Caller, type CallerRecord } from '@tillerstair/stand-ins';

const whole = suite('whole path through processes');
const house = { ...seoul, models: 2, services: 1 };
const reported: CallerRecord[] = [];
const caller = new Caller('shop', (t) => reported.push(t));
const fleet = new Fleet({
  dir: join(tmpdir(), `tillerstair-path-${process.pid}`),
  sizes: smallSizes,
  house,
  withRelay: false,
  affinity: true,
  log: 'info',
});

whole.before(async () => {
  await fleet.build();
  fleet.start();
  await until(
    'a master',
    30000,
    async () => (await fleet.operator.request('GET', '/v1/status')).status === 200,
  );
});

whole.after(async () => {
  await fleet.close();
});

whole('a configuration handed in serves a streamed turn, its history and a tool call', async () => {
  const shape = {
    base: 0,
    turnPools: [house.modelPool],
    callPools: [house.servicePool],
    extraRoutes: 0,
    note: 'first',
  };
  const text = configFor(house, shape);
  const put = await fleet.operator.request('PUT', '/v1/config', text);
  assert.is(put.status, 200);
  await fleet.register();
  await until('fronts', 30000, () => fleet.ready('front'));
  const [a = '', b = ''] = fleet.fronts;
  const made = await caller.program(a, 500);
  assert.is(made.reported, 'done');
  const first = await caller.turn(b, {
    program: made.program,
    after: null,
    words: 'What is in stock? #k1',
    key: 'k1',
  });
  assert.is(first.reported, 'done');
  assert.equal(
    first.chunks,
    first.chunks.map((_, i) => i),
  );
  assert.ok(first.chunks.length > 0);
  const second = await caller.turn(a, {
    program: made.program,
    after: first.turn,
    words: 'And tomorrow? #k2',
    key: 'k2',
  });
  assert.is(second.reported, 'done');
  const fetched = await caller.fetch(b, made.program, first.turn);
  assert.is(fetched.text, first.text);
  const call = await caller.call(a, '/shop/stock/hold', { item: 3 }, 'op-1');
  const again = await caller.call(b, '/shop/stock/hold', { item: 3 }, 'op-1');
  assert.is(call.reported, 'done');
  assert.is(again.text, call.text);
  assert.is(fleet.executions.all().filter((r) => r.key === 'shop/op-1').length, 1);
  const other = await caller.call(b, '/shop/stock/hold', { item: 4 }, 'op-1');
  assert.is(other.status, 422);
  assert.equal((await fleet.operator.config())?.text, text);
});

whole('what cannot be served is refused at once, with a word on whether it ran', async () => {
  const [a = ''] = fleet.fronts;
  const made = await caller.program(a, 500);
  const post = (path: string, body: string) => ask('POST', `http://${a}${path}`, body);
  const cases: readonly (readonly [string, string, number, string])[] = [
    ['/v1/programs', '{nonsense', 400, 'bad-json'],
    ['/v1/programs', '{"budget":0}', 400, 'findings'],
    ['/v1/programs', `{"budget":1,"x":"${'y'.repeat(1 << 20)}"}`, 413, 'body-too-large'],
    ['/v1/programs/p-none/turns', '{"words":"hi"}', 404, 'missing'],
    [`/v1/programs/${made.program}/turns`, '{"words":"hi"}', 404, 'missing'],
    ['/v1/calls/nowhere', '{}', 404, 'no-route'],
    ['/v1/calls/shop/stock/hold', '{}', 400, 'no-key'],
    ['/v1/elsewhere', '{}', 404, 'no-such-page'],
    ['/v1/programs/%zz/turns', '{}', 400, 'bad-path'],
  ];
  for (const [path, body, status, errorCode] of cases) {
    const r = await post(path, body);
    assert.is(r.status, status, path);
    assert.match(JSON.stringify(r.body), `"errorCode":"${errorCode}"`);
    assert.match(JSON.stringify(r.body), '"executed":"no"');
  }
  const stranger = await new Caller('other', () => undefined).fetch(a, made.program, 't-x');
  assert.is(stranger.errorCode, 'missing');
});

whole.run();
