/** How an agent feeds its local proxy: the content of feeds, and which responses are accepted. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { emptyReport, ProxyFeed, type ControlLink } from '@tillerstair/agent';
import { SimClock } from '@tillerstair/sim';
import { RpcError } from '@tillerstair/wire';
import { fieldsOf } from '../support/interface-calls.js';
import { ScriptedTransport, stateFor } from '../support/front-fixture.js';

const feeding = suite('the feed of a proxy');

const link: ControlLink = { leaseRenewedAt: 5, barred: undefined, master: 'm', term: 2 };

const createFeedFixture = () => {
  const clock = new SimClock();
  const loopback = new ScriptedTransport();
  const respond = (version: number, overrides: object = {}) => {
    loopback.answer = () =>
      Promise.resolve({
        id: 'f',
        applied: { term: 2, version },
        seen: [],
        released: [],
        ...overrides,
      });
  };
  respond(0);
  const parts = { clock, loopback, addr: 'proxy:1', bounds: { heartbeatInterval: 200 } };
  const feed = new ProxyFeed(parts, 'f', emptyReport);
  const lastBody = (): ReadonlyMap<string, unknown> => fieldsOf(loopback.calls.at(-1)?.body);
  const sendsConfig = (): boolean => JSON.stringify(lastBody().get('state')).includes('["config"');
  return { clock, loopback, respond, feed, lastBody, sendsConfig };
};

const stateAt = (version: number, digest = 'config') => {
  const state = stateFor('f', { term: 2, version });
  if (!state.config) throw new Error('the state of stateFor has no configuration');
  return { ...state, config: { ...state.config, digest } };
};

feeding(
  'a state is sent only if it is newer than the state that the proxy has applied',
  async () => {
    const { feed, lastBody, respond } = createFeedFixture();
    respond(3);
    await feed.feed(stateAt(3), link);
    assert.ok(lastBody().has('state'));
    await feed.feed(stateAt(3), link);
    assert.not.ok(lastBody().has('state'));
    await feed.feed(stateAt(2), link);
    assert.not.ok(lastBody().has('state'));
    await feed.feed(stateAt(4), link);
    assert.ok(lastBody().has('state'));
  },
);

feeding('a configuration is left out of a feed only if the proxy has the same one', async () => {
  const { feed, lastBody, respond, sendsConfig } = createFeedFixture();
  respond(3);
  await feed.feed(stateAt(3), link);
  assert.ok(sendsConfig());
  assert.not.ok(lastBody().has('config'));
  await feed.feed(stateAt(4), link);
  assert.not.ok(sendsConfig());
  assert.is(lastBody().get('config'), 'config');
  await feed.feed(stateAt(5, 'another'), link);
  assert.ok(sendsConfig());
});

feeding('the configuration is sent again after a failed feed', async () => {
  const { feed, loopback, respond, sendsConfig } = createFeedFixture();
  respond(3);
  await feed.feed(stateAt(3), link);
  loopback.answer = () => Promise.reject(new Error('lost'));
  await feed.feed(stateAt(4), link).catch(() => undefined);
  respond(4);
  await feed.feed(stateAt(4), link);
  assert.ok(sendsConfig());
});

feeding('the response of another proxy is not accepted', async () => {
  const { feed, respond } = createFeedFixture();
  respond(3, { id: 'g', stopping: true, released: [[1, 2]] });
  const error = await feed.feed(stateAt(3), link).catch((thrown: unknown) => thrown);
  assert.is(error instanceof RpcError && error.code, 'other-proxy');
  assert.not.ok(feed.proxyIsStopping);
  assert.equal(feed.report, emptyReport);
});

feeding('released slots are reported as new only once', async () => {
  const { feed, respond } = createFeedFixture();
  assert.is(await feed.feed(stateAt(3), link), false);
  respond(3, { released: [[1, 2]] });
  assert.is(await feed.feed(stateAt(3), link), true);
  assert.is(await feed.feed(stateAt(3), link), false);
});

feeding('a lease that was never renewed is sent as -1', async () => {
  const { feed, lastBody } = createFeedFixture();
  await feed.feed(undefined, { ...link, leaseRenewedAt: -Infinity, barred: ['s'] });
  assert.is(lastBody().get('leaseRenewedAt'), -1);
  assert.equal(lastBody().get('barred'), ['s']);
});

feeding.run();
