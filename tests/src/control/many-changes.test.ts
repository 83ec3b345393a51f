import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { configDigest, encodeState, reduceState } from '@tillerstair/state';
import { World, type Machine } from '@tillerstair/sim';
import { configText } from '../support/world-helpers.js';

const many = suite('hundreds of changes of a large configuration');

const routes = 1000;
const changes = 500;
const awayFor = 100;

const version = (m: Machine): number => m.control?.zen.applied?.config?.version ?? 0;

const masterOf = (w: World): Machine => {
  const m = w.master;
  if (!m) throw new Error('a master is needed');
  return m;
};

const holds = (m: Machine): string => {
  const s = m.control?.zen.accepted;
  return s ? JSON.stringify([...encodeState(s)].filter(([k]) => k !== 'head').sort()) : '';
};

/** As the operator's interface hands a change in, without the check of its text, which is most of the time of a real one. */
const change = async (w: World): Promise<void> => {
  const lead = masterOf(w).control?.zen.leading;
  if (!lead) throw new Error('a master is needed');
  const old = lead.committed?.config;
  const base = old?.version ?? 0;
  const text = configText(base, 'models', 'shop', routes + (base % 3));
  const record = {
    version: base + 1,
    text,
    digest: configDigest(text),
    compiled: text,
    changeId: '',
  };
  await w.clock.finish(
    'change',
    lead.submit((s) => reduceState(s, { kind: 'config', record })),
    2000,
  );
};

const allEqual = (w: World, ms: readonly Machine[]) => (): boolean => {
  const master = w.master;
  return (
    master !== undefined &&
    ms.every((m) => m.up && m.control !== undefined && version(m) === version(master))
  );
};

many(
  'logs and publishes stay bounded, and members that were away or slow are caught up within a second',
  async () => {
    const w = new World(1, { controls: 5, stores: 0, fronts: 0 });
    w.start();
    await w.clock.until('a master', () => w.master !== undefined, 12000);
    let published = 0;
    let most = 0;
    w.net.onMessage = (m) => {
      if (m.kind !== 'zen/publish') return;
      published += m.bytes;
      most = Math.max(most, m.bytes);
    };
    const followers = w.of('control').filter((m) => m !== w.master);
    assert.is(followers.length, 4, 'five controls are needed');
    const [short, long, slow] = followers;
    long.kill('power');
    slow.platter.delay = 400;
    let longest = 0;
    const took: number[] = [];
    for (let n = 0; n < changes; n++) {
      if (n === 200) {
        slow.platter.delay = 0.2;
        short.kill('process');
      }
      if (n === 200 + awayFor) {
        short.start();
        took.push(await w.clock.until('the one away for 100', allEqual(w, [short]), 5000));
        slow.platter.delay = 400;
      }
      await change(w);
      longest = Math.max(longest, ...w.of('control').map((m) => m.platter.bytes('zen.log')));
    }
    slow.platter.delay = 0.2;
    await w.clock.until('the slow one', allEqual(w, [slow]), 1000);
    long.start();
    took.push(await w.clock.until('the one away for all', allEqual(w, [long]), 5000));
    for (const m of w.of('control')) {
      if (m === w.master) continue;
      m.kill('power');
      await w.clock.run(100);
      m.start();
      took.push(await w.clock.until('restarted', allEqual(w, [m]), 5000));
    }
    assert.ok(Math.max(...took) < 1000, took.join());
    for (const m of w.of('control')) assert.is(holds(m), holds(masterOf(w)), m.addr);
    assert.is(version(masterOf(w)), changes);
    const state = holds(masterOf(w)).length;
    assert.ok(longest < 4 * state, `the longest log has ${longest} bytes, the state ${state}`);
    assert.ok(most < state / 4, `a publish has ${most} bytes, the state ${state}`);
    assert.ok(
      published / changes < 6 * most,
      `${published / changes} bytes a change, ${most} in the largest publish`,
    );
  },
);

many.run();
