/** How a front applies the feeds of its local agent: states, leases and barred servers. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { RpcError } from '@tillerstair/wire';
import { entriesOf, createFrontFixture, readLease, stateFor } from '../support/front-fixture.js';

const feeding = suite('feeds that a front receives from its agent');

const baseFeed = { leaseRenewedAt: -1, master: 'm', term: 3 };

const codeOf = (action: () => unknown): string => {
  try {
    action();
    return 'nothing';
  } catch (error) {
    return error instanceof RpcError ? error.code : String(error);
  }
};

feeding('a newer state replaces an older one, but not vice versa', () => {
  const { front } = createFrontFixture();
  const feedWithState = (term: number, version: number) => ({
    ...baseFeed,
    state: entriesOf(stateFor('g', { term, version })),
  });
  assert.equal(front.feed(feedWithState(2, 5)).applied, { term: 2, version: 5 });
  for (const [term, version] of [
    [2, 4],
    [1, 9],
  ] as const)
    assert.equal(front.feed(feedWithState(term, version)).applied, { term: 2, version: 5 });
  assert.equal(front.feed(feedWithState(2, 6)).applied, { term: 2, version: 6 });
});

feeding(
  'a state without a configuration is accepted only if the front has that configuration',
  () => {
    const { front } = createFrontFixture();
    const state = stateFor('g', { term: 2, version: 5 });
    const entries = entriesOf({ ...state, version: 6 }).filter(([key]) => key !== 'config');
    const feedWithoutConfig = { ...baseFeed, state: entries, config: 'config' };
    assert.is(
      codeOf(() => front.feed(feedWithoutConfig)),
      'need-config',
    );
    front.feed({ ...baseFeed, state: entriesOf(state) });
    assert.is(
      codeOf(() => front.feed({ ...feedWithoutConfig, config: 'another' })),
      'need-config',
    );
    assert.equal(front.feed(feedWithoutConfig).applied, { term: 2, version: 6 });
    assert.is(front.owner.current?.state.config?.digest, 'config');
  },
);

feeding('a state of another cluster is refused', () => {
  const { front } = createFrontFixture();
  front.feed({ ...baseFeed, state: entriesOf(stateFor('g')) });
  const entriesOfOtherCluster = entriesOf(stateFor('g', { clusterId: 'other', term: 9 }));
  assert.is(
    codeOf(() => front.feed({ ...baseFeed, state: entriesOfOtherCluster })),
    'other-cluster',
  );
});

feeding('a lease is accepted only from the newest term and not from the future', () => {
  const { front, clock } = createFrontFixture();
  front.feed({ ...baseFeed, state: entriesOf(stateFor('g')) });
  assert.not.ok(front.owner.leaseValid);
  front.feed({ ...baseFeed, term: 2, leaseRenewedAt: clock.now() });
  assert.not.ok(front.owner.leaseValid, 'a lease of an earlier term');
  front.feed({ ...baseFeed, leaseRenewedAt: clock.now() + 1 });
  assert.not.ok(front.owner.leaseValid, 'a lease from the future');
  front.feed({ ...baseFeed, leaseRenewedAt: clock.now() - readLease });
  assert.not.ok(front.owner.leaseValid, 'an expired lease');
  front.feed({ ...baseFeed, leaseRenewedAt: clock.now() });
  assert.ok(front.owner.leaseValid);
});

feeding('the list of barred servers is accepted only from the newest term', () => {
  const { front, clock } = createFrontFixture();
  front.feed({ ...baseFeed, state: entriesOf(stateFor('g')), leaseRenewedAt: clock.now() });
  front.feed({ ...baseFeed, barred: ['shop'] });
  front.feed({ ...baseFeed, term: 2, barred: [] });
  const server = front.owner.current?.state.servers.get('shop');
  assert.ok(server && !front.owner.mayRun(server, 'pass', 'a.example/once/x'));
  front.feed({ ...baseFeed, barred: [] });
  assert.ok(front.owner.mayRun(server, 'pass', 'a.example/once/x'));
});

feeding.run();
