/** How an agent adopts the proxy beside it, and when it leaves the cluster. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Agent } from '@tillerstair/agent';
import { SimClock } from '@tillerstair/sim';
import { delay, RpcError, silentLogger } from '@tillerstair/wire';
import { zenBounds } from '@tillerstair/zen';
import { ScriptedTransport } from '../support/front-fixture.js';

const agents = suite('an agent and the proxy beside it');

const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 200,
  failureTimeout: 900,
});

/** An agent whose proxy has the id that `proxy.id` says, and does not respond while that is ''. */
const agentRig = async () => {
  const clock = new SimClock();
  const transport = new ScriptedTransport();
  const loopback = new ScriptedTransport();
  const proxy = { id: '', replyMs: 0, stopping: false, leaseReleased: false };
  loopback.answer = ({ kind }) => {
    if (proxy.id === '') return Promise.reject(new Error('nobody listens'));
    const { id, stopping, leaseReleased } = proxy;
    const applied = { term: 0, version: 0 };
    return delay(clock, proxy.replyMs).then(() =>
      kind === 'front/hello'
        ? { id, addr: 'p:1', http: 'p:2' }
        : { id, applied, seen: [], released: [], stopping, leaseReleased },
    );
  };
  transport.answer = () => Promise.reject(new Error('no other node'));
  const agent = new Agent({
    addr: 'a:1',
    http: 'a:2',
    zone: 'z',
    name: 'n',
    proxy: 'p:0',
    seeds: ['s:1', 's:2', 's:3'],
    clock,
    transport,
    loopback,
    bounds,
    stopWithin: 1000,
    log: silentLogger,
  });
  await agent.start();
  return { clock, transport, loopback, proxy, agent };
};

const request = { from: 'x', kind: 'zen/ping', body: {} };

agents('without a proxy an agent is no node, and promises that it ran nothing', async () => {
  const { agent, clock, transport } = await agentRig();
  await clock.run(2000);
  assert.is(agent.zenNode, undefined);
  assert.is(agent.readiness().ready, false);
  const never = new AbortController().signal;
  const failed = await transport
    .handler?.(request, () => undefined, never)
    .catch((e: unknown) => e);
  assert.ok(failed instanceof RpcError);
  assert.equal(failed instanceof RpcError ? [failed.code, failed.executed] : [], [
    'no-proxy',
    'no',
  ]);
});

agents('a proxy that started anew is another node', async () => {
  const { agent, clock, proxy } = await agentRig();
  proxy.id = 'f1';
  await clock.run(500);
  const first = agent.zenNode;
  assert.ok(first);
  proxy.id = 'f2';
  await clock.run(500);
  assert.ok(agent.zenNode);
  assert.is.not(agent.zenNode, first);
});

agents('a proxy that is silent for a moment stays the same node', async () => {
  const { agent, clock, proxy } = await agentRig();
  proxy.id = 'f1';
  await clock.run(500);
  const first = agent.zenNode;
  proxy.id = '';
  await clock.run(bounds.failureTimeout / 2);
  proxy.id = 'f1';
  await clock.run(500);
  assert.is(agent.zenNode, first);
});

agents('an agent whose proxy is silent for the failure timeout leaves the cluster', async () => {
  const { agent, clock, proxy } = await agentRig();
  proxy.id = 'f1';
  await clock.run(500);
  proxy.id = '';
  await clock.run(bounds.failureTimeout + bounds.heartbeatInterval * 2);
  assert.is(agent.zenNode, undefined);
});

agents('a proxy that took no feed for two heartbeats is not ready', async () => {
  const { agent, clock, proxy } = await agentRig();
  proxy.id = 'f1';
  await clock.run(500);
  const node = agent.zenNode;
  assert.ok(node);
  Object.defineProperty(node, 'knownMaster', { get: () => ({ id: 'm', addr: 'm:1' }) });
  assert.is(agent.readiness().ready, true);
  proxy.id = '';
  await clock.run(bounds.heartbeatInterval * 3);
  assert.equal(agent.readiness(), { ready: false, why: 'the proxy accepted no feed for 2 heartbeats' });
});

agents('a front is no fresher than the newest reading of the list', async () => {
  const { agent, clock, loopback, proxy } = await agentRig();
  proxy.id = 'f1';
  await clock.run(500);
  const node = agent.zenNode;
  assert.ok(node);
  Object.defineProperty(node, 'leaseRenewedAt', { get: () => clock.now() });
  await clock.run(bounds.heartbeatInterval);
  const leases = loopback.calls
    .filter(({ kind }) => kind === 'front/feed')
    .map(({ body }) => JSON.stringify(body).includes('"leaseRenewedAt":-1'));
  assert.ok(leases.length > 2 && leases.every(Boolean), 'nobody has told of the list yet');
});

agents(
  'an agent that is told to stop waits for the word of a proxy that replies late',
  async () => {
    const { agent, clock, proxy } = await agentRig();
    proxy.id = 'f1';
    await clock.run(500);
    proxy.stopping = true;
    proxy.replyMs = bounds.heartbeatInterval * 0.9;
    let ended = false;
    const end = agent.stop().then(() => {
      ended = true;
    });
    await clock.run(bounds.heartbeatInterval * 4);
    assert.is(ended, false, 'the proxy stops, and needs its lease until it has ended');
    proxy.leaseReleased = true;
    await clock.finish('the end', end, bounds.heartbeatInterval * 6);
  },
);

agents('an agent that stops alone leaves once its proxy said that it goes on', async () => {
  const { agent, clock, proxy } = await agentRig();
  proxy.id = 'f1';
  await clock.run(500);
  await clock.finish('the end', agent.stop(), bounds.heartbeatInterval * 4);
});

agents.run();
