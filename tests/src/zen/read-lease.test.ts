/** What renews the read lease of a front, and the bounds from which its duration is derived. */
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

leases('a round in which a majority has accepted nothing newer renews the lease', () => {
  assert.is(renewedBy([replyOf('a'), replyOf('b'), replyOf('c', 1)]), 500);
});

leases('a round without a majority does not renew the lease', () => {
  assert.is(renewedBy([replyOf('a')]), -Infinity);
});

leases('voters that have accepted a newer state do not renew the lease', () => {
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

leases('a renewal as of an earlier time does not shorten the lease', () => {
  const lease = new ReadLease();
  lease.renew(700);
  lease.renew(600);
  assert.is(lease.leaseRenewedAt, 700);
});

const settings = {
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
};

leases('replaced settings change the bounds and the disk timings derived from them', () => {
  const reloadable = reloadableBounds(settings);
  const { bounds } = reloadable;
  const diskTimings = [controlJournalTimings, storeJournalTimings].map((timingOf) =>
    timingOf(new SimClock(), bounds, silentLogger),
  );
  const values = () => [
    ...Object.values({ ...bounds }),
    ...diskTimings.flatMap((timing) => [timing.syncTimeoutMs, timing.retryIntervalMs]),
  ];
  const before = values();
  assert.is(bounds.readLease, 2500);
  assert.equal(
    diskTimings.map((timing) => timing.syncTimeoutMs),
    [1500, 3000],
  );
  reloadable.replace({ ...settings, drainingWithin: 6000, failureTimeout: 4000 });
  assert.is(bounds.readLease, 5000);
  assert.equal(
    diskTimings.map((timing) => timing.syncTimeoutMs),
    [2000, 4000],
  );
  reloadable.replace(settings);
  assert.equal(values(), before);
});

leases.run();
