/** A resent change is acknowledged as soon as it is in force itself; it does not wait for later changes in flight. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { operate, type OperatorResponse } from '@tillerstair/control';
import { ElectionError } from '@tillerstair/wire';
import {
  bounds,
  MasterHarness,
  memberOf,
  roundTrip,
  stateWith,
  threeVoters,
} from '../zen/master-harness.js';

const resentChanges = suite('resent changes while later ones are pending');

const configBasedOn = (base: number): string =>
  JSON.stringify({
    base,
    pools: [{ name: 'm', kind: 'model' }],
    routes: [
      { name: 'chat', match: { kind: 'turn', path: '/chat' }, shares: [{ pool: 'm', share: 1 }] },
    ],
  });

const put = (harness: MasterHarness, base: number): Promise<OperatorResponse> =>
  operate(harness.master, { method: 'PUT', path: '/v1/config', body: configBasedOn(base) });

resentChanges(
  'an acknowledged change is acknowledged again immediately while a later one is pending',
  async () => {
    const newest = stateWith(threeVoters, [memberOf('f', 'front')]);
    const harness = await MasterHarness.started({ newest });
    await harness.clock.run(bounds.readLease);
    const first = await harness.clock.finish(
      'the first change',
      put(harness, 0),
      bounds.publishTimeout,
    );
    assert.is(first.status, 200);
    // The front rejects every later commit, so the second change stays pending.
    harness.peer('f').on('zen/commit', () => {
      throw new ElectionError('not-held', 'that state is not held');
    });
    const second = put(harness, 1);
    await harness.clock.run(roundTrip * 4);
    const startedAt = harness.clock.now();
    const repeated = await harness.clock.finish(
      'the first change, resent',
      put(harness, 0),
      bounds.readLease * 2,
    );
    assert.is(repeated.status, 200);
    const tookMs = harness.clock.now() - startedAt;
    assert.ok(tookMs <= roundTrip * 4, `the resent change was acknowledged after ${tookMs} ms`);
    const delayed = await harness.clock.finish('the second change', second, bounds.readLease * 2);
    assert.is(delayed.status, 200);
  },
);

resentChanges.run();
