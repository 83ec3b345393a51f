import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { configFor, Fleet, seoul, smallSizes, until } from '@tillerstair/fleet';
import { Caller, type Told } from '@tillerstair/stand-ins';

const whole = suite('whole path through processes');
const house = { ...seoul, models: 2, services: 1 };
const told: Told[] = [];
const caller = new Caller('shop', (t) => told.push(t));
const fleet = new Fleet({
  dir: join(tmpdir(), `tillerstair-path-${process.pid}`), sizes: smallSizes, house, cuts: false, affinity: true, log: 'info',
});

whole.before(async () => {
  await fleet.build();
  fleet.start();
  await until('a master', 30000, async () => (await fleet.operator.any('GET', '/v1/status')).status === 200);
});

whole.after(async () => {
  await fleet.close();
});

whole('a configuration handed in serves a streamed turn, its history and a tool call', async () => {
  const shape = { base: 0, turnPools: [house.modelPool], callPools: [house.servicePool], extraLanes: 0, note: 'first' };
  const text = configFor(house, shape);
  const put = await fleet.operator.any('PUT', '/v1/config', text);
  assert.is(put.status, 200);
  await fleet.register();
  await until('fronts', 30000, () => fleet.ready('front'));
  const [a = '', b = ''] = fleet.fronts;
  const made = await caller.program(a, 500);
  assert.is(made.told, 'done');
  const first = await caller.turn(b, made.program, null, 'What is in stock? #k1', 'k1');
  assert.is(first.told, 'done');
  assert.equal(first.pieces, first.pieces.map((_, i) => i));
  assert.ok(first.pieces.length > 0);
  const second = await caller.turn(a, made.program, first.turn, 'And tomorrow? #k2', 'k2');
  assert.is(second.told, 'done');
  const fetched = await caller.fetch(b, made.program, first.turn);
  assert.is(fetched.text, first.text);
  const call = await caller.call(a, '/shop/stock/hold', { item: 3 }, 'op-1');
  const again = await caller.call(b, '/shop/stock/hold', { item: 3 }, 'op-1');
  assert.is(call.told, 'done');
  assert.is(again.text, call.text);
  assert.is(fleet.ledger.all().filter((r) => r.key === 'op-1').length, 1);
  const other = await caller.call(b, '/shop/stock/hold', { item: 4 }, 'op-1');
  assert.is(other.status, 422);
  assert.equal((await fleet.operator.config())?.text, text);
});

whole.run();
