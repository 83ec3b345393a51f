/** What a front takes from the agent beside it. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { RpcError } from '@tillerstair/wire';
import { entriesOf, createFrontFixture, readLease, stateFor } from '../support/front-fixture.js';

const feeding = suite('what a front takes from its agent');

const fresh = { leaseRenewedAt: -1, master: 'm', term: 3 };

const codeOf = (work: () => unknown): string => {
  try {
    work();
    return 'nothing';
  } catch (e) {
    return e instanceof RpcError ? e.code : String(e);
  }
};

feeding('a newer state replaces an older one, never the other way', () => {
  const { front } = createFrontFixture();
  const at = (term: number, version: number) => ({
    ...fresh,
    state: entriesOf(stateFor('g', { term, version })),
  });
  assert.equal(front.feed(at(2, 5)).applied, { term: 2, version: 5 });
  for (const [term, version] of [
    [2, 4],
    [1, 9],
  ] as const)
    assert.equal(front.feed(at(term, version)).applied, { term: 2, version: 5 });
  assert.equal(front.feed(at(2, 6)).applied, { term: 2, version: 6 });
});

feeding('a state without its configuration needs the one that the front has', () => {
  const { front } = createFrontFixture();
  const state = stateFor('g', { term: 2, version: 5 });
  const entries = entriesOf({ ...state, version: 6 }).filter(([key]) => key !== 'config');
  const bare = { ...fresh, state: entries, config: 'config' };
  assert.is(
    codeOf(() => front.feed(bare)),
    'need-config',
  );
  front.feed({ ...fresh, state: entriesOf(state) });
  assert.is(
    codeOf(() => front.feed({ ...bare, config: 'another' })),
    'need-config',
  );
  assert.equal(front.feed(bare).applied, { term: 2, version: 6 });
  assert.is(front.owner.current?.state.config?.digest, 'config');
});

feeding('a state of another cluster is refused', () => {
  const { front } = createFrontFixture();
  front.feed({ ...fresh, state: entriesOf(stateFor('g')) });
  const other = entriesOf(stateFor('g', { clusterId: 'other', term: 9 }));
  assert.is(
    codeOf(() => front.feed({ ...fresh, state: other })),
    'other-cluster',
  );
});

feeding('a lease is taken of the newest term only, and never from the future', () => {
  const { front, clock } = createFrontFixture();
  front.feed({ ...fresh, state: entriesOf(stateFor('g')) });
  assert.not.ok(front.owner.leaseValid);
  front.feed({ ...fresh, term: 2, leaseRenewedAt: clock.now() });
  assert.not.ok(front.owner.leaseValid, 'an earlier term');
  front.feed({ ...fresh, leaseRenewedAt: clock.now() + 1 });
  assert.not.ok(front.owner.leaseValid, 'the future');
  front.feed({ ...fresh, leaseRenewedAt: clock.now() - readLease });
  assert.not.ok(front.owner.leaseValid, 'a lease that has run out');
  front.feed({ ...fresh, leaseRenewedAt: clock.now() });
  assert.ok(front.owner.leaseValid);
});

feeding('servers are barred by the newest term only', () => {
  const { front, clock } = createFrontFixture();
  front.feed({ ...fresh, state: entriesOf(stateFor('g')), leaseRenewedAt: clock.now() });
  front.feed({ ...fresh, barred: ['shop'] });
  front.feed({ ...fresh, term: 2, barred: [] });
  const server = front.owner.current?.state.servers.get('shop');
  assert.ok(server && !front.owner.mayRun(server, 'pass', 'a.example/once/x'));
  front.feed({ ...fresh, barred: [] });
  assert.ok(front.owner.mayRun(server, 'pass', 'a.example/once/x'));
});

feeding.run();
