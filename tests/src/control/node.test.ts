/**
 * A control node: requests that it answers itself, requests that only a master executes, and responses if the master is
 * unreachable.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ControlNode } from '@tillerstair/control';
import { World, type Machine } from '@tillerstair/sim';
import { RpcError } from '@tillerstair/wire';
import { configText } from '../support/world-helpers.js';

const node = suite('control node');

const startCluster = async (seed: number): Promise<World> => {
  const cluster = new World(seed, { controls: 3, stores: 1, fronts: 1 });
  cluster.start();
  await cluster.clock.until('a master', () => cluster.master !== undefined, 12000);
  await cluster.clock.until('all nodes', () => cluster.committed?.nodes.size === 5, 12000);
  return cluster;
};

const controlOf = (machine: Machine | undefined): ControlNode => {
  if (!machine?.control) throw new Error('the machine runs no control');
  return machine.control;
};

const followerOf = (cluster: World): Machine => {
  const machine = cluster.of('control').find((other) => other !== cluster.master);
  if (!machine) throw new Error('the cluster has no follower');
  return machine;
};

const errorCode = async (cluster: World, work: Promise<unknown>): Promise<string> =>
  cluster.clock.finish(
    'an error',
    work.then(
      () => 'none',
      (error: unknown) => (error instanceof RpcError ? error.code : 'untyped'),
    ),
    10000,
  );

node(
  'a control that is not master rejects requests to operate, to drain and to record a filled replica',
  async () => {
    const cluster = await startCluster(81);
    const control = controlOf(followerOf(cluster));
    for (const [kind, body] of [
      ['control/operate', { method: 'GET', path: '/v1/status', body: '' }],
      ['control/depart', { id: 'x' }],
      ['control/filled', { store: 'x', slot: 0, ownershipEpoch: 1 }],
    ] as const)
      assert.is(await errorCode(cluster, control.handle({ from: 'x', kind, body })), 'not-master');
    const unknownRequest = control.handle({ from: 'x', kind: 'control/unknown', body: {} });
    assert.is(await errorCode(cluster, unknownRequest), 'unknown-kind');
  },
);

node('a front that departs is drained, a node of another kind is not', async () => {
  const cluster = await startCluster(82);
  const control = controlOf(cluster.master);
  const idOf = (kind: string): string =>
    [...(cluster.committed?.nodes.values() ?? [])].find((member) => member.kind === kind)?.id ?? '';
  for (const kind of ['store', 'front']) {
    const notice = { from: 'x', kind: 'control/depart', body: { id: idOf(kind) } };
    await cluster.clock.finish(kind, control.handle(notice), 10000);
  }
  assert.equal([...(cluster.committed?.retiring.keys() ?? [])], [idOf('front')]);
});

node('a draining mark that took too long gets the error code late instead of success', async () => {
  const cluster = await startCluster(83);
  assert.is((await cluster.operate('PUT', '/v1/config', configText(0))).status, 200);
  const body = JSON.stringify({ pool: 'models', url: 'http://127.0.0.1:1' });
  assert.is((await cluster.operate('PUT', '/v1/servers/m1', body)).status, 200);
  assert.is((await cluster.operate('POST', '/v1/servers/m1/draining')).status, 200);
  cluster.net.extraLatency = () => 300;
  const put = await cluster.operate('PUT', '/v1/servers/m2', body);
  assert.is(put.status, 200, 'other changes may take longer');
  const late = await cluster.operate('POST', '/v1/servers/m2/draining');
  assert.is(late.status, 504);
  assert.is(late.retryAfter, 1);
  assert.match(JSON.stringify(late.body), '"errorCode":"late"');
});

node('a forwarded change without a response from the master gets 504, a read 503', async () => {
  const cluster = await startCluster(84);
  const machine = followerOf(cluster);
  const master = cluster.master;
  if (!master) throw new Error('the cluster has no master');
  cluster.net.cut(master.addr, machine.addr);
  const control = controlOf(machine);
  const put = control.operate({ method: 'PUT', path: '/v1/config', body: configText(0) });
  const read = control.operate({ method: 'GET', path: '/v1/config', body: '' });
  const change = await cluster.clock.finish('PUT', put, 10000);
  assert.is(change.status, 504);
  assert.match(JSON.stringify(change.body), '"executed":"unknown"');
  const readResponse = await cluster.clock.finish('GET', read, 10000);
  assert.is(readResponse.status, 503);
  assert.match(JSON.stringify(readResponse.body), '"executed":"no"');
  assert.is(readResponse.retryAfter, 3);
});

node('the view and the check of a configuration need no master', async () => {
  const cluster = await startCluster(85);
  const machine = followerOf(cluster);
  for (const other of cluster.machines) if (other !== machine) other.kill('power');
  await cluster.clock.run(10000);
  const control = controlOf(machine);
  const ask = (method: string, path: string, body = '') =>
    cluster.clock.finish(path, control.operate({ method, path, body }), 10000);
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
