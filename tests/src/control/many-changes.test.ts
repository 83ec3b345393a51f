/**
 * The election log and publishes under hundreds of configuration changes, with controls that are down or slow
 * meanwhile.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { configDigest, encodeState, reduceState } from '@tillerstair/state';
import { World, type Machine } from '@tillerstair/sim';
import { configText } from '../support/world-helpers.js';

const manyChanges = suite('hundreds of changes of a large configuration');

const routes = 1000;
const changes = 500;
const changesWhileDown = 100;

const configVersion = (machine: Machine): number =>
  machine.control?.zen.applied?.config?.version ?? 0;

const masterOf = (cluster: World): Machine => {
  const master = cluster.master;
  if (!master) throw new Error('the cluster has no master');
  return master;
};

const acceptedState = (machine: Machine): string => {
  const accepted = machine.control?.zen.accepted;
  return accepted
    ? JSON.stringify([...encodeState(accepted)].filter(([key]) => key !== 'head').sort())
    : '';
};

/**
 * Submits a change like the operators' interface, but without the check of its text, which takes most of the time of a
 * real change.
 */
const submitChange = async (cluster: World): Promise<void> => {
  const master = masterOf(cluster).control?.zen.leading;
  if (!master) throw new Error('the cluster has no master');
  const current = master.committed?.config;
  const base = current?.version ?? 0;
  const text = configText(base, 'models', 'shop', routes + (base % 3));
  const record = {
    version: base + 1,
    text,
    digest: configDigest(text),
    compiled: text,
    changeId: '',
  };
  await cluster.clock.finish(
    'change',
    master.submit((state) => reduceState(state, { kind: 'config', record })),
    2000,
  );
};

const caughtUp = (cluster: World, machines: readonly Machine[]) => (): boolean => {
  const master = cluster.master;
  return (
    master !== undefined &&
    machines.every(
      (machine) =>
        machine.up &&
        machine.control !== undefined &&
        configVersion(machine) === configVersion(master),
    )
  );
};

manyChanges(
  'logs and publishes stay bounded, controls that were down or slow catch up within a second',
  async () => {
    const cluster = new World(1, { controls: 5, stores: 0, fronts: 0 });
    cluster.start();
    await cluster.clock.until('a master', () => cluster.master !== undefined, 12000);
    let published = 0;
    let largest = 0;
    cluster.net.onMessage = (message) => {
      if (message.kind !== 'zen/publish') return;
      published += message.bytes;
      largest = Math.max(largest, message.bytes);
    };
    const followers = cluster.of('control').filter((machine) => machine !== cluster.master);
    assert.is(followers.length, 4, 'five controls are needed');
    const [brieflyDown, longDown, slow] = followers;
    longDown.kill('power');
    slow.drive.delay = 400;
    let longest = 0;
    const tookMs: number[] = [];
    for (let index = 0; index < changes; index++) {
      if (index === 200) {
        slow.drive.delay = 0.2;
        brieflyDown.kill('process');
      }
      if (index === 200 + changesWhileDown) {
        brieflyDown.start();
        tookMs.push(
          await cluster.clock.until('down for 100', caughtUp(cluster, [brieflyDown]), 5000),
        );
        slow.drive.delay = 400;
      }
      await submitChange(cluster);
      longest = Math.max(longest, ...cluster.of('control').map((m) => m.drive.bytes('zen.log')));
    }
    slow.drive.delay = 0.2;
    await cluster.clock.until('the slow control', caughtUp(cluster, [slow]), 1000);
    longDown.start();
    tookMs.push(await cluster.clock.until('down for all', caughtUp(cluster, [longDown]), 5000));
    for (const machine of cluster.of('control')) {
      if (machine === cluster.master) continue;
      machine.kill('power');
      await cluster.clock.run(100);
      machine.start();
      tookMs.push(await cluster.clock.until('restarted', caughtUp(cluster, [machine]), 5000));
    }
    assert.ok(Math.max(...tookMs) < 1000, tookMs.join());
    for (const machine of cluster.of('control'))
      assert.is(acceptedState(machine), acceptedState(masterOf(cluster)), machine.addr);
    assert.is(configVersion(masterOf(cluster)), changes);
    const stateBytes = acceptedState(masterOf(cluster)).length;
    assert.ok(
      longest < 4 * stateBytes,
      `the longest log has ${longest} bytes, the state ${stateBytes}`,
    );
    assert.ok(largest < stateBytes / 4, `a publish has ${largest} bytes, the state ${stateBytes}`);
    assert.ok(
      published / changes < 6 * largest,
      `${published / changes} bytes a change, ${largest} in the largest publish`,
    );
  },
);

manyChanges.run();
