/** How an agent adopts its local proxy, and when its node leaves the cluster. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Agent } from '@tillerstair/agent';
import { SimClock } from '@tillerstair/sim';
import { delay, RpcError, silentLogger } from '@tillerstair/wire';
import { zenBounds } from '@tillerstair/zen';
import { ScriptedTransport } from '../support/front-fixture.js';

const agents = suite('an agent and its local proxy');

const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 200,
  failureTimeout: 900,
});

/** Creates an agent whose proxy has the id `proxy.id`, and does not respond while that is ''. */
const createAgentFixture = async () => {
  const clock = new SimClock();
  const transport = new ScriptedTransport();
  const loopback = new ScriptedTransport();
  const proxy = { id: '', replyMs: 0, stopping: false, leaseReleased: false };
  loopback.answer = ({ kind }) => {
    if (proxy.id === '') return Promise.reject(new Error('connection refused'));
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

agents('an agent without a proxy has no node and reports that it ran nothing', async () => {
  const { agent, clock, transport } = await createAgentFixture();
  await clock.run(2000);
  assert.is(agent.zenNode, undefined);
  assert.is(agent.readiness().ready, false);
  const neverAborted = new AbortController().signal;
  const error = await transport
    .handler?.(request, () => undefined, neverAborted)
    .catch((thrown: unknown) => thrown);
  assert.ok(error instanceof RpcError);
  assert.equal(error instanceof RpcError ? [error.code, error.executed] : [], ['no-proxy', 'no']);
});

agents('a restarted proxy becomes another node', async () => {
  const { agent, clock, proxy } = await createAgentFixture();
  proxy.id = 'f1';
  await clock.run(500);
  const first = agent.zenNode;
  assert.ok(first);
  proxy.id = 'f2';
  await clock.run(500);
  assert.ok(agent.zenNode);
  assert.is.not(agent.zenNode, first);
});

agents(
  'a proxy that does not reply for less than the failure timeout stays the same node',
  async () => {
    const { agent, clock, proxy } = await createAgentFixture();
    proxy.id = 'f1';
    await clock.run(500);
    const first = agent.zenNode;
    proxy.id = '';
    await clock.run(bounds.failureTimeout / 2);
    proxy.id = 'f1';
    await clock.run(500);
    assert.is(agent.zenNode, first);
  },
);

agents(
  'an agent whose proxy does not reply for the failure timeout leaves the cluster',
  async () => {
    const { agent, clock, proxy } = await createAgentFixture();
    proxy.id = 'f1';
    await clock.run(500);
    proxy.id = '';
    await clock.run(bounds.failureTimeout + bounds.heartbeatInterval * 2);
    assert.is(agent.zenNode, undefined);
  },
);

agents('an agent whose proxy accepted no feed for two heartbeats is not ready', async () => {
  const { agent, clock, proxy } = await createAgentFixture();
  proxy.id = 'f1';
  await clock.run(500);
  const node = agent.zenNode;
  assert.ok(node);
  Object.defineProperty(node, 'knownMaster', { get: () => ({ id: 'm', addr: 'm:1' }) });
  assert.is(agent.readiness().ready, true);
  proxy.id = '';
  await clock.run(bounds.heartbeatInterval * 3);
  assert.equal(agent.readiness(), {
    ready: false,
    why: 'the proxy accepted no feed for 2 heartbeats',
  });
});

agents('the lease of a front is no newer than the last reading of the list', async () => {
  const { agent, clock, loopback, proxy } = await createAgentFixture();
  proxy.id = 'f1';
  await clock.run(500);
  const node = agent.zenNode;
  assert.ok(node);
  Object.defineProperty(node, 'leaseRenewedAt', { get: () => clock.now() });
  await clock.run(bounds.heartbeatInterval);
  const leases = loopback.calls
    .filter(({ kind }) => kind === 'front/feed')
    .map(({ body }) => JSON.stringify(body).includes('"leaseRenewedAt":-1'));
  assert.ok(
    leases.length > 2 && leases.every(Boolean),
    'no lease before the first report on the list',
  );
});

agents('a stopping agent waits for a late reply of its proxy', async () => {
  const { agent, clock, proxy } = await createAgentFixture();
  proxy.id = 'f1';
  await clock.run(500);
  proxy.stopping = true;
  proxy.replyMs = bounds.heartbeatInterval * 0.9;
  let ended = false;
  const stopped = agent.stop().then(() => {
    ended = true;
  });
  await clock.run(bounds.heartbeatInterval * 4);
  assert.is(ended, false, 'a stopping proxy needs its lease until it has released it');
  proxy.leaseReleased = true;
  await clock.finish('the end', stopped, bounds.heartbeatInterval * 6);
});

agents(
  'an agent that stops alone leaves once its proxy has replied that it is not stopping',
  async () => {
    const { agent, clock, proxy } = await createAgentFixture();
    proxy.id = 'f1';
    await clock.run(500);
    await clock.finish('the end', agent.stop(), bounds.heartbeatInterval * 4);
  },
);

agents.run();
