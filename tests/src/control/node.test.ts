/** What a control answers itself, what only a master may do, and what it says when the master's answer is missing. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ControlNode } from '@tillerstair/control';
import { World, type Machine } from '@tillerstair/sim';
import { RpcError } from '@tillerstair/wire';
import { configText } from '../support/world-helpers.js';

const node = suite('control node');

const up = async (seed: number): Promise<World> => {
  const world = new World(seed, { controls: 3, stores: 1, fronts: 1 });
  world.start();
  await world.clock.until('a master', () => world.master !== undefined, 12000);
  await world.clock.until('all nodes', () => world.committed?.nodes.size === 5, 12000);
  return world;
};

const controlOf = (machine: Machine | undefined): ControlNode => {
  if (!machine?.control) throw new Error('no control');
  return machine.control;
};

const follower = (world: World): Machine => {
  const machine = world.of('control').find((other) => other !== world.master);
  if (!machine) throw new Error('no follower');
  return machine;
};

const errorCode = async (world: World, work: Promise<unknown>): Promise<string> =>
  world.clock.finish(
    'an error',
    work.then(
      () => 'none',
      (error: unknown) => (error instanceof RpcError ? error.code : 'untyped'),
    ),
    10000,
  );

node(
  'a control that is not master neither operates, drains nor counts a filled replica',
  async () => {
    const world = await up(81);
    const control = controlOf(follower(world));
    for (const [kind, body] of [
      ['control/operate', { method: 'GET', path: '/v1/status', body: '' }],
      ['control/depart', { id: 'x' }],
      ['control/filled', { store: 'x', slot: 0, ownershipEpoch: 1 }],
    ] as const)
      assert.is(await errorCode(world, control.handle({ from: 'x', kind, body })), 'not-master');
    const novel = control.handle({ from: 'x', kind: 'control/novel', body: {} });
    assert.is(await errorCode(world, novel), 'unknown-kind');
  },
);

node('a front that stops is drained, a node of another kind is not', async () => {
  const world = await up(82);
  const control = controlOf(world.master);
  const idOf = (kind: string): string =>
    [...(world.committed?.nodes.values() ?? [])].find((member) => member.kind === kind)?.id ?? '';
  for (const kind of ['store', 'front']) {
    const depart = { from: 'x', kind: 'control/depart', body: { id: idOf(kind) } };
    await world.clock.finish(kind, control.handle(depart), 10000);
  }
  assert.equal([...(world.committed?.retiring.keys() ?? [])], [idOf('front')]);
});

node('a mark that took too long gets a late answer and no success', async () => {
  const world = await up(83);
  assert.is((await world.operate('PUT', '/v1/config', configText(0))).status, 200);
  const body = JSON.stringify({ pool: 'models', url: 'http://127.0.0.1:1' });
  assert.is((await world.operate('PUT', '/v1/servers/m1', body)).status, 200);
  assert.is((await world.operate('POST', '/v1/servers/m1/draining')).status, 200);
  world.net.extraLatency = () => 300;
  const put = await world.operate('PUT', '/v1/servers/m2', body);
  assert.is(put.status, 200, 'other changes may take longer');
  const late = await world.operate('POST', '/v1/servers/m2/draining');
  assert.is(late.status, 504);
  assert.is(late.retryAfter, 1);
  assert.match(JSON.stringify(late.body), '"errorCode":"late"');
});

node('an order of which the master does not tell is 504, a read 503', async () => {
  const world = await up(84);
  const machine = follower(world);
  const master = world.master;
  if (!master) throw new Error('no master');
  world.net.cut(master.addr, machine.addr);
  const control = controlOf(machine);
  const put = control.operate({ method: 'PUT', path: '/v1/config', body: configText(0) });
  const read = control.operate({ method: 'GET', path: '/v1/config', body: '' });
  const change = await world.clock.finish('PUT', put, 10000);
  assert.is(change.status, 504);
  assert.match(JSON.stringify(change.body), '"executed":"unknown"');
  const unread = await world.clock.finish('GET', read, 10000);
  assert.is(unread.status, 503);
  assert.match(JSON.stringify(unread.body), '"executed":"no"');
  assert.is(unread.retryAfter, 3);
});

node('the view and the check of a file need no master', async () => {
  const world = await up(85);
  const machine = follower(world);
  for (const other of world.machines) if (other !== machine) other.kill('power');
  await world.clock.run(10000);
  const control = controlOf(machine);
  const ask = (method: string, path: string, body = '') =>
    world.clock.finish(path, control.operate({ method, path, body }), 10000);
  assert.is((await ask('GET', '/v1/view')).status, 200);
  assert.equal(await ask('POST', '/v1/config/check', configText(0)), {
    status: 200,
    body: { findings: [] },
  });
  assert.is((await ask('POST', '/v1/config/check', '{}')).status, 422);
  const read = await ask('GET', '/v1/config');
  assert.equal([read.status, read.retryAfter], [503, 3]);
  assert.match(JSON.stringify(read.body), '"errorCode":"no-master"');
});

node.run();
