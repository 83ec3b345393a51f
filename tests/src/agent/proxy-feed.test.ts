/** How an agent feeds the proxy beside it: what goes along, and whose response counts. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { emptyReport, ProxyFeed, type ControlLink } from '@tillerstair/agent';
import { SimClock } from '@tillerstair/sim';
import { RpcError } from '@tillerstair/wire';
import { fieldsOf } from '../support/interface-calls.js';
import { ScriptedTransport, stateFor } from '../support/front-fixture.js';

const feeding = suite('the feed of a proxy');

const link: ControlLink = { leaseRenewedAt: 5, barred: undefined, master: 'm', term: 2 };

const feedRig = () => {
  const clock = new SimClock();
  const loopback = new ScriptedTransport();
  const respond = (version: number, more: object = {}) => {
    loopback.answer = () =>
      Promise.resolve({
        id: 'f',
        applied: { term: 2, version },
        seen: [],
        released: [],
        ...more,
      });
  };
  respond(0);
  const parts = { clock, loopback, addr: 'proxy:1', bounds: { heartbeatInterval: 200 } };
  const feed = new ProxyFeed(parts, 'f', emptyReport);
  const last = (): ReadonlyMap<string, unknown> => fieldsOf(loopback.calls.at(-1)?.body);
  const sendsConfig = (): boolean => JSON.stringify(last().get('state')).includes('["config"');
  return { clock, loopback, respond, feed, last, sendsConfig };
};

const at = (version: number, note = 'config') => {
  const state = stateFor('f', { term: 2, version });
  if (!state.config) throw new Error('a state with a configuration is needed');
  return { ...state, config: { ...state.config, digest: note } };
};

feeding('a state goes along only if it is newer than what the proxy has applied', async () => {
  const { feed, last, respond } = feedRig();
  respond(3);
  await feed.feed(at(3), link);
  assert.ok(last().has('state'));
  await feed.feed(at(3), link);
  assert.not.ok(last().has('state'));
  await feed.feed(at(2), link);
  assert.not.ok(last().has('state'));
  await feed.feed(at(4), link);
  assert.ok(last().has('state'));
});

feeding('a configuration is left out only if the proxy has that very one', async () => {
  const { feed, last, respond, sendsConfig } = feedRig();
  respond(3);
  await feed.feed(at(3), link);
  assert.ok(sendsConfig());
  assert.not.ok(last().has('config'));
  await feed.feed(at(4), link);
  assert.not.ok(sendsConfig());
  assert.is(last().get('config'), 'config');
  await feed.feed(at(5, 'another'), link);
  assert.ok(sendsConfig());
});

feeding('after a feed that failed the configuration is sent again', async () => {
  const { feed, loopback, respond, sendsConfig } = feedRig();
  respond(3);
  await feed.feed(at(3), link);
  loopback.answer = () => Promise.reject(new Error('lost'));
  await feed.feed(at(4), link).catch(() => undefined);
  respond(4);
  await feed.feed(at(4), link);
  assert.ok(sendsConfig());
});

feeding('the response of another proxy is not accepted', async () => {
  const { feed, respond } = feedRig();
  respond(3, { id: 'g', stopping: true, released: [[1, 2]] });
  const failed = await feed.feed(at(3), link).catch((e: unknown) => e);
  assert.is(failed instanceof RpcError && failed.code, 'other-proxy');
  assert.not.ok(feed.proxyIsStopping);
  assert.equal(feed.report, emptyReport);
});

feeding('slots that are released are reported once', async () => {
  const { feed, respond } = feedRig();
  assert.is(await feed.feed(at(3), link), false);
  respond(3, { released: [[1, 2]] });
  assert.is(await feed.feed(at(3), link), true);
  assert.is(await feed.feed(at(3), link), false);
});

feeding('a lease that was never renewed is told as -1', async () => {
  const { feed, last } = feedRig();
  await feed.feed(undefined, { ...link, leaseRenewedAt: -Infinity, barred: ['s'] });
  assert.is(last().get('leaseRenewedAt'), -1);
  assert.equal(last().get('barred'), ['s']);
});

feeding.run();
