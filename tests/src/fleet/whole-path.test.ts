/** Requests through real processes of every kind: configuration, turns, history, calls and refusals. */
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { ask, configFor, Fleet, seoul, smallSizes, until } from '@tillerstair/fleet';
import { Caller, type CallerRecord } from '@tillerstair/stand-ins';

const wholePath = suite('whole path through processes');
const house = { ...seoul, models: 2, services: 1 };
const reported: CallerRecord[] = [];
const caller = new Caller('shop', (record) => reported.push(record));
const fleet = new Fleet({
  dir: join(tmpdir(), `tillerstair-path-${process.pid}`),
  sizes: smallSizes,
  house,
  withRelay: false,
  affinity: true,
  log: 'info',
});

wholePath.before(async () => {
  await fleet.build();
  fleet.start();
  await until(
    'a master',
    30000,
    async () => (await fleet.operator.request('GET', '/v1/status')).status === 200,
  );
});

wholePath.after(async () => {
  await fleet.close();
});

wholePath(
  'a submitted configuration serves a streamed turn, its history and a tool call',
  async () => {
    const options = {
      base: 0,
      turnPools: [house.modelPool],
      callPools: [house.servicePool],
      extraRoutes: 0,
      note: 'first',
    };
    const text = configFor(house, options);
    const reply = await fleet.operator.request('PUT', '/v1/config', text);
    assert.is(reply.status, 200);
    await fleet.register();
    await until('fronts', 30000, () => fleet.ready('front'));
    const [firstFront = '', secondFront = ''] = fleet.fronts;
    const created = await caller.program(firstFront, 500);
    assert.is(created.reported, 'done');
    const first = await caller.turn(secondFront, {
      program: created.program,
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
    const second = await caller.turn(firstFront, {
      program: created.program,
      after: first.turn,
      words: 'And tomorrow? #k2',
      key: 'k2',
    });
    assert.is(second.reported, 'done');
    const fetched = await caller.fetch(secondFront, created.program, first.turn);
    assert.is(fetched.text, first.text);
    const call = await caller.call(firstFront, '/shop/stock/hold', { item: 3 }, 'op-1');
    const repeated = await caller.call(secondFront, '/shop/stock/hold', { item: 3 }, 'op-1');
    assert.is(call.reported, 'done');
    assert.is(repeated.text, call.text);
    assert.is(fleet.executions.all().filter((record) => record.key === 'shop/op-1').length, 1);
    const changedBody = await caller.call(secondFront, '/shop/stock/hold', { item: 4 }, 'op-1');
    assert.is(changedBody.status, 422);
    assert.equal((await fleet.operator.config())?.text, text);
  },
);

wholePath('an invalid request is refused at once and reported as not executed', async () => {
  const [front = ''] = fleet.fronts;
  const created = await caller.program(front, 500);
  const post = (path: string, body: string) => ask('POST', `http://${front}${path}`, body);
  const cases: readonly (readonly [string, string, number, string])[] = [
    ['/v1/programs', '{nonsense', 400, 'bad-json'],
    ['/v1/programs', '{"budget":0}', 400, 'findings'],
    ['/v1/programs', `{"budget":1,"x":"${'y'.repeat(1 << 20)}"}`, 413, 'body-too-large'],
    ['/v1/programs/p-none/turns', '{"words":"hi"}', 404, 'missing'],
    [`/v1/programs/${created.program}/turns`, '{"words":"hi"}', 404, 'missing'],
    ['/v1/calls/nowhere', '{}', 404, 'no-route'],
    ['/v1/calls/shop/stock/hold', '{}', 400, 'no-key'],
    ['/v1/elsewhere', '{}', 404, 'no-such-page'],
    ['/v1/programs/%zz/turns', '{}', 400, 'bad-path'],
  ];
  for (const [path, body, status, errorCode] of cases) {
    const reply = await post(path, body);
    assert.is(reply.status, status, path);
    assert.match(JSON.stringify(reply.body), `"errorCode":"${errorCode}"`);
    assert.match(JSON.stringify(reply.body), '"executed":"no"');
  }
  const otherTenantReply = await new Caller('other', () => undefined).fetch(
    front,
    created.program,
    't-x',
  );
  assert.is(otherTenantReply.errorCode, 'missing');
});

wholePath.run();
