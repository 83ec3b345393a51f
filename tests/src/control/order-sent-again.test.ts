/** An order that is sent again while later ones are on their way: it waits for its own change, not for theirs. */
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

const orders = suite('orders that are sent again');

const fileOn = (base: number): string =>
  JSON.stringify({
    base,
    pools: [{ name: 'm', kind: 'model' }],
    routes: [
      { name: 'chat', match: { kind: 'turn', path: '/chat' }, shares: [{ pool: 'm', share: 1 }] },
    ],
  });

const put = (rig: MasterHarness, base: number): Promise<OperatorResponse> =>
  operate(rig.master, { method: 'PUT', path: '/v1/config', body: fileOn(base) });

orders(
  'an acknowledged order is acknowledged again at once, though a later one waits',
  async () => {
    const newest = stateWith(threeVoters, [memberOf('f', 'front')]);
    const rig = await MasterHarness.started({ newest });
    await rig.clock.run(bounds.readLease);
    const first = await rig.clock.finish('the first order', put(rig, 0), bounds.publishTimeout);
    assert.is(first.status, 200);
    rig.peer('f').on('zen/commit', () => {
      throw new ElectionError('not-held', 'that state is not held');
    });
    const second = put(rig, 1);
    await rig.clock.run(roundTrip * 4);
    const from = rig.clock.now();
    const again = await rig.clock.finish('the first one again', put(rig, 0), bounds.readLease * 2);
    assert.is(again.status, 200);
    const tookMs = rig.clock.now() - from;
    assert.ok(tookMs <= roundTrip * 4, `${tookMs} ms`);
    const later = await rig.clock.finish('the second order', second, bounds.readLease * 2);
    assert.is(later.status, 200);
  },
);

orders.run();
