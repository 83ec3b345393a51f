/** Servers known from a list: marks and losses reach every front, whatever fails. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { World, type Machine } from '@tillerstair/sim';
import { assertNoBreach, configText, five, recordsOf, servers } from '../support/world-helpers.js';
import {
  type ListedCluster,
  serverIdsByFront,
  startListedCluster,
  sendLoad,
  roundRobinFronts,
} from '../support/listed-servers.js';
import { firstOf } from '../support/machines.js';

const list = suite('servers known from a list');

const seeds = [21, 22, 23, 24];

const drain = 3000;

const began = (w: World, server: string, from: number, to = Infinity): number =>
  w.servers.executed.filter((r) => r.server === server && r.began >= from && r.began < to).length;

const assertLeft = ({ cluster: w }: ListedCluster, server: string, at: number): void => {
  assert.is(began(w, server, at + drain), 0);
  assertNoBreach(recordsOf(w));
};

const frontsKnow = (w: World, server: string): boolean =>
  w.of('front').some((m) => m.front?.owner.current?.state.servers.get(server)?.draining === true);

list('servers become known, with their zone and places, and vanish when unlisted', async () => {
  for (const seed of seeds) {
    const { cluster: w, serverList: shown } = await startListedCluster(seed);
    const at = shown.put({ id: 's3', pool: 'shop', zone: 'zone-2', places: 7 });
    await w.clock.until('s3', () => serverIdsByFront(w).every((ids) => ids.includes('s3')), 700);
    const s3 = w.committed?.servers.get('s3');
    assert.equal([s3?.zone, s3?.places, s3?.draining], ['zone-2', 7, false]);
    await sendLoad(w, 'a', 1500, roundRobinFronts(w));
    assert.ok(began(w, 's3', at) > 0);
    const gone = shown.drop('s3');
    await w.clock.until(
      's3 gone',
      () => serverIdsByFront(w).every((ids) => !ids.includes('s3')),
      700,
    );
    await sendLoad(w, 'b', 1500, roundRobinFronts(w));
    assert.is(began(w, 's3', gone + 700), 0);
    assertLeft({ cluster: w, serverList: shown }, 's3', gone);
  }
});

list('a pool that no configuration names stays known', async () => {
  const { cluster: w, serverList: shown } = await startListedCluster(21);
  shown.put({ id: 'n1', pool: 'not-yet' });
  await w.clock.until('n1', () => serverIdsByFront(w).every((ids) => ids.includes('n1')), 700);
  assert.is(w.committed?.servers.get('n1')?.pool, 'not-yet');
});

list('a mark reaches every front, also from a list that lags', async () => {
  for (const seed of seeds) {
    const up = await startListedCluster(seed, five, seed % 2 === 0 ? 0 : 800);
    const { cluster: w, serverList: shown } = up;
    const at = shown.mark('s1');
    await w.clock.run(at - w.clock.now() + 700);
    for (const m of w.of('front'))
      assert.is(m.front?.owner.current?.state.servers.get('s1')?.draining, true);
    const from = await sendLoad(w, 'm', 3500, roundRobinFronts(w));
    assert.is(began(w, 's1', from), 0);
    assert.ok(began(w, 's2', from) > 20);
    assertLeft(up, 's1', at);
  }
});

list('a server that drains once drains for good under its id', async () => {
  const { cluster: w, serverList: shown } = await startListedCluster(22);
  shown.mark('s1');
  await w.clock.run(1000);
  shown.put({ id: 's1', pool: 'shop' });
  await w.clock.run(2000);
  assert.is(w.committed?.servers.get('s1')?.draining, true);
});

const atMaster = async (what: string, harm: (w: World, master: Machine) => void): Promise<void> => {
  let blind = 0;
  for (const seed of seeds) {
    const up = await startListedCluster(seed);
    const { cluster: w, serverList: shown } = up;
    const master = w.master;
    if (!master) throw new Error('no master');
    const at = shown.mark('s1');
    harm(w, master);
    const going = sendLoad(w, `${what}${seed}-`, 9000, roundRobinFronts(w));
    await w.clock.run(1);
    if (!frontsKnow(w, 's1')) blind++;
    await going;
    assertLeft(up, 's1', at);
    assert.ok(began(w, 's2', at + drain) > 20, 'the other server goes on');
    assert.ok(began(w, 's2', at, at + drain) > 20, 'it did so the whole time');
    assert.is(w.committed?.servers.get('s1')?.draining, true);
  }
  assert.is(blind, seeds.length);
};

list('the master loses power right after the mark shows', () =>
  atMaster('p', (_, master) => master.kill('power')),
);

list('the master freezes right after the mark shows', () =>
  atMaster('f', (_, master) => master.freeze()),
);

list('the master is cut from all others right after the mark shows', () =>
  atMaster('c', (w, master) =>
    w.net.cutBoth(
      [master.addr],
      w.machines.filter((m) => m !== master).map((m) => m.addr),
    ),
  ),
);

list('the master loses power at any moment of its reading and publishing', async () => {
  for (let ms = 0; ms < 560; ms += 70) {
    const up = await startListedCluster(21 + (ms % 5));
    const { cluster: w, serverList: shown } = up;
    const at = shown.mark('s1');
    const going = sendLoad(w, `q${ms}-`, 6000, roundRobinFronts(w));
    w.clock.after(ms, () => w.master?.kill('power'));
    await going;
    assertLeft(up, 's1', at);
    assert.ok(began(w, 's2', at + drain) > 20);
  }
});

list('a server that disappears while there is no master gets nothing either', async () => {
  for (const seed of seeds) {
    const up = await startListedCluster(seed);
    const { cluster: w, serverList: shown } = up;
    w.master?.freeze();
    const at = shown.drop('s1');
    await sendLoad(w, 'd', 9000, roundRobinFronts(w));
    assertLeft(up, 's1', at);
    assert.ok(began(w, 's2', at + drain) > 20);
    assert.is(w.committed?.servers.has('s1'), false);
  }
});

list(
  'after a partition of the controls, or of a front from them, nothing is sent late',
  async () => {
    for (const seed of seeds) {
      const up = await startListedCluster(seed);
      const { cluster: w, serverList: shown } = up;
      const core = w.of('control').map((m) => m.addr);
      const lone = firstOf(w, 'front').addr;
      const at = shown.mark('s1');
      if (seed % 2 === 0) w.net.cutBoth([lone], core);
      else
        for (const a of core)
          w.net.cutBoth(
            [a],
            core.filter((b) => b !== a),
          );
      await sendLoad(w, 'u', 6000, roundRobinFronts(w));
      w.net.healCuts();
      await w.clock.run(8000);
      await sendLoad(w, 'v', 1500, roundRobinFronts(w));
      assertLeft(up, 's1', at);
      assert.ok(began(w, 's2', at + 14000) > 20);
    }
  },
);

list('an agent that starts anew while there is no master frees no barred server', async () => {
  for (const seed of seeds) {
    const up = await startListedCluster(seed);
    const { cluster: w, serverList: shown } = up;
    const at = shown.mark('s1');
    w.master?.freeze();
    const going = sendLoad(w, 'r', 8000, roundRobinFronts(w));
    await w.clock.run(2200);
    for (const m of w.of('front')) {
      m.killAgent();
      m.restartAgent();
    }
    await going;
    assertLeft(up, 's1', at);
  }
});

list(
  'the list is down, hangs or refuses, and serving goes on, with a change of master too',
  async () => {
    for (const seed of seeds) {
      const up = await startListedCluster(seed);
      const { cluster: w, serverList: shown } = up;
      if (seed % 2 === 0) shown.failing = true;
      else shown.hanging = true;
      const from = await sendLoad(w, 'x', 4000, roundRobinFronts(w));
      for (let at = from + 500; at < from + 4000; at += 500)
        assert.ok(began(w, 's1', at, at + 500) + began(w, 's2', at, at + 500) > 10);
      w.master?.kill('power');
      const on = await sendLoad(w, 'y', 8000, roundRobinFronts(w));
      for (let at = on + 500; at < on + 8000; at += 500)
        assert.ok(
          began(w, 's1', at, at + 500) + began(w, 's2', at, at + 500) > 0,
          `gap at ${at - on}`,
        );
      assert.is(w.committed?.servers.size, servers.length);
      shown.failing = false;
      shown.hanging = false;
      const at = shown.mark('s1');
      await sendLoad(w, 'z', 4000, roundRobinFronts(w));
      assertLeft(up, 's1', at);
      assert.is(began(w, 's1', at + 1800), 0);
    }
  },
);

list('a master that alone cannot reach the list keeps no draining server in use', async () => {
  for (const seed of seeds) {
    const up = await startListedCluster(seed);
    const { cluster: w, serverList: shown } = up;
    shown.cut.add(w.master?.addr ?? '');
    const at = shown.mark('s1');
    await sendLoad(w, 'k', 6000, roundRobinFronts(w));
    assertLeft(up, 's1', at);
    assert.ok(began(w, 's2', at + drain) > 20);
  }
});

list(
  'a master slow to commit what it read leaves no front serving by an older reading',
  async () => {
    for (const seed of seeds) {
      const up = await startListedCluster(seed);
      const { cluster: w, serverList: shown } = up;
      const lone = firstOf(w, 'front');
      const core = w.of('control');
      w.net.cutBoth(
        [lone.addr],
        core.filter((m) => m !== w.master).map((m) => m.addr),
      );
      for (const m of core) m.platter.delay = 1000;
      let made = 0;
      const churn = (): void => {
        const n = ++made;
        void w.master?.control?.operate({
          method: 'PUT',
          path: `/v1/servers/x${n}`,
          body: JSON.stringify({ pool: 'idle', url: 'http://127.0.0.1:1' }),
        });
        if (n < 60) w.clock.after(100, churn);
      };
      churn();
      shown.readMs = 480;
      const reads = shown.reads.length;
      await w.clock.until('a read', () => shown.reads.length > reads, 5000);
      await w.clock.run(250);
      const at = shown.mark('s1');
      await sendLoad(w, 'l', 5000, () => lone);
      assertLeft(up, 's1', at);
      assert.is(began(w, 's1', at + w.bounds.readLease + 1), 0);
      assert.ok(began(w, 's1', at) > 0);
    }
  },
);

list('another server at the address of one that left is a server of its own', async () => {
  for (const seed of seeds) {
    const up = await startListedCluster(seed);
    const { cluster: w, serverList: shown } = up;
    const at = shown.mark('s1');
    await w.clock.run(1000);
    shown.put({ id: 's9', pool: 'shop', url: 'http://127.0.0.1:1' });
    await w.clock.run(4000);
    shown.drop('s1');
    const from = await sendLoad(w, 'i', 3000, roundRobinFronts(w));
    assert.ok(began(w, 's9', from) > 10);
    assert.is(w.committed?.servers.get('s9')?.draining, false);
    assertLeft(up, 's1', at);
  }
});

list('operators make servers where there is no list', async () => {
  const w = new World(21, five);
  await w.bringUp((base) => configText(base), servers);
  await w.clock.run(5000);
  assert.is(w.committed?.servers.size, servers.length);
  w.master?.kill('power');
  await sendLoad(w, 'n', 6000, roundRobinFronts(w));
  assert.is(w.committed?.servers.size, servers.length);
  assertNoBreach(recordsOf(w));
});

list.run();
