/** The read lease of a front, and the bounds from which its length is derived. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { PingResponse } from '@tillerstair/zen';
import {
  controlJournalTimings,
  ReadLease,
  reloadableBounds,
  storeJournalTimings,
} from '@tillerstair/zen';
import { SimClock } from '@tillerstair/sim';
import { silentLogger } from '@tillerstair/wire';
import { memberOf, stateWith, term, threeVoters } from './master-harness.js';

const leases = suite('read lease');

const applied = stateWith(threeVoters, [memberOf('f', 'front')]);

const replyOf = (id: string, newerBy = 0): PingResponse => ({
  from: memberOf(id),
  eligible: true,
  canWin: true,
  term,
  clusterId: 'cluster',
  joinedBefore: true,
  accepted: { term: applied.term, version: applied.version + newerBy },
  known: [],
});

const renewedBy = (pingResponses: readonly PingResponse[], state = applied, id = 'f'): number => {
  const lease = new ReadLease();
  lease.renewFromRound({ startedAt: 500, pingResponses }, state, id);
  return lease.leaseRenewedAt;
};

leases('a round in which a majority holds nothing newer renews the lease', () => {
  assert.is(renewedBy([replyOf('a'), replyOf('b'), replyOf('c', 1)]), 500);
});

leases('a round without a majority does not renew the lease', () => {
  assert.is(renewedBy([replyOf('a')]), -Infinity);
});

leases('voters that hold a newer state do not renew the lease', () => {
  assert.is(renewedBy([replyOf('a'), replyOf('b', 1), replyOf('c', 1)]), -Infinity);
});

leases('a member that is not listed in its state has no lease', () => {
  assert.is(renewedBy([replyOf('a'), replyOf('b')], applied, 'unlisted'), -Infinity);
});

leases('a member that has applied no state has no lease', () => {
  const lease = new ReadLease();
  lease.renewFromRound(
    { startedAt: 500, pingResponses: [replyOf('a'), replyOf('b')] },
    undefined,
    'f',
  );
  assert.is(lease.leaseRenewedAt, -Infinity);
});

leases('an earlier moment never takes a lease back', () => {
  const lease = new ReadLease();
  lease.renew(700);
  lease.renew(600);
  assert.is(lease.leaseRenewedAt, 700);
});

const outer = {
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
};

leases('bounds follow a later replace, and so do the paces of disks derived from them', () => {
  const reloadable = reloadableBounds(outer);
  const { bounds } = reloadable;
  const paces = [controlJournalTimings, storeJournalTimings].map((pace) =>
    pace(new SimClock(), bounds, silentLogger),
  );
  const values = () => [
    ...Object.values({ ...bounds }),
    ...paces.flatMap((pace) => [pace.syncTimeoutMs, pace.retryIntervalMs]),
  ];
  const before = values();
  assert.is(bounds.readLease, 2500);
  assert.equal(
    paces.map((pace) => pace.syncTimeoutMs),
    [1500, 3000],
  );
  reloadable.replace({ ...outer, drainingWithin: 6000, failureTimeout: 4000 });
  assert.is(bounds.readLease, 5000);
  assert.equal(
    paces.map((pace) => pace.syncTimeoutMs),
    [2000, 4000],
  );
  reloadable.replace(outer);
  assert.equal(values(), before);
});

leases.run();
