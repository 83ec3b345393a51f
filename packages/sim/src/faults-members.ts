/** Membership faults of storms: machines are added, replaced, emptied, drained or removed, and settings reloaded. */
import type { Machine } from './machine.js';
import {
  pickRandom,
  type Fault,
  type FaultContext,
  type FaultTable,
  type MachineKind,
} from './storm-fault.js';

const replaceOne =
  (kind: MachineKind): Fault =>
  (context) => {
    const machine = context.tools.target(context, kind);
    if (!machine) return '';
    return context.tools.runDiskLoss(() => context.tools.replaceMachine(machine)) && machine.addr;
  };

const replaceSeeds: Fault = (context) =>
  context.tools.runDiskLoss(async () => {
    for (const machine of context.world.of('control').slice(0, 3))
      await context.tools.replaceMachine(machine);
  });

/** A planned replacement: a new machine starts first, then the old one stops gracefully and is removed. */
const replacePlanned =
  (kind: MachineKind): Fault =>
  (context) => {
    const leaving = context.tools.target(context, kind);
    if (!leaving) return '';
    const started = context.tools.runDiskLoss(async () => {
      context.world.add(kind).start();
      await context.storm.delay(2 * context.world.bounds.failureTimeout);
      if (!leaving.up) context.tools.restart(leaving);
      await Promise.race([
        leaving.stopGracefully().catch(() => undefined),
        context.storm.delay(2 * context.world.bounds.failureTimeout),
      ]);
      if (leaving.up) leaving.kill('power');
      context.world.remove(leaving);
      await context.tools.untilReplicated(kind);
    });
    return started && leaving.addr;
  };

/** Whether a store is retiring and no slot has a replica on it. */
const isEmpty = (context: FaultContext, id: string): boolean => {
  const state = context.world.committed;
  return (
    state !== undefined &&
    state.retiring.has(id) &&
    state.slots.every((slot) => slot.joiningReplicas.length === 0 && !slot.replicas.includes(id))
  );
};

/** Sends a request to the master until the status is 200, at most 120 times. */
const requestUntilAccepted = async (
  context: FaultContext,
  method: string,
  path: string,
): Promise<void> => {
  for (let attempt = 0; attempt < 120; attempt++) {
    const response = await context.storm.operate(context.world.master, method, path);
    if (response?.status === 200) return;
    await context.storm.delay(500);
  }
};

/** Adds a store, empties another one and removes it; throws if the store is not emptied in time. */
const emptyStore = async (context: FaultContext, leaving: Machine): Promise<void> => {
  context.world.add('store').start();
  await requestUntilAccepted(context, 'POST', `/v1/stores/${leaving.addr}/empty`);
  const id = leaving.store?.id ?? 'none';
  for (let attempt = 0; attempt < 300 && !isEmpty(context, id); attempt++)
    await context.storm.delay(200);
  if (!isEmpty(context, id))
    throw new Error(`store ${leaving.addr} (${id}) was not emptied in time`);
  leaving.kill('power');
  context.world.remove(leaving);
};

/** A store is emptied and removed; with `thenWipe`, another store loses its disk right after. */
const emptyOne =
  (thenWipe: boolean): Fault =>
  (context) =>
    context.tools.runDiskLoss(async () => {
      const leaving = pickRandom(context.rng, context.tools.up('store'));
      if (!leaving) return;
      await emptyStore(context, leaving);
      const other = thenWipe ? pickRandom(context.rng, context.tools.up('store')) : undefined;
      if (other) await context.tools.wipe(other, context.durationMs);
    });

const maxSpares = 2;

const addMachine =
  (kind: MachineKind, maxMachines: number): Fault =>
  (context) => {
    if (context.world.of(kind).length >= maxMachines) return '';
    context.world.add(kind).start();
    return 'added';
  };

/** A machine is added and later killed and removed without notice, unless it has become a voter. */
const addAndKill =
  (kind: MachineKind): Fault =>
  (context) => {
    const spares =
      context.world.of(kind).length -
      (kind === 'control' ? (context.world.committed?.voters.current.length ?? Infinity) : 0);
    if (spares >= maxSpares) return '';
    const machine = context.world.add(kind);
    machine.start();
    context.tools.after(context.durationMs, () => {
      if (
        !context.world.machines.includes(machine) ||
        context.world.committed?.voters.next.includes(machine.control?.id ?? '') !== false
      )
        return;
      machine.kill();
      context.world.remove(machine);
    });
    return machine.addr;
  };

/** A front stops gracefully and is removed. */
const removeFront: Fault = (context) => {
  const machine = pickRandom(context.rng, context.tools.up('front'));
  if (!machine || context.world.of('front').length < 3) return '';
  context.storm.track(
    (async () => {
      await Promise.race([
        machine.stopGracefully().catch(() => undefined),
        context.storm.delay(6 * context.world.bounds.heartbeatInterval),
      ]);
      if (machine.up) machine.kill();
      context.world.remove(machine);
    })(),
  );
  return machine.addr;
};

/** An operator drains a front, and cancels the draining later. */
const drainFront: Fault = (context) => {
  const machine = pickRandom(context.rng, context.tools.up('front'));
  const master = context.world.master;
  if (!machine?.front || !master?.control || context.world.of('front').length < 3) return '';
  const path = `/v1/fronts/${machine.addr}/drain`;
  void master.control.operate({ method: 'POST', path, body: '' });
  context.tools.after(context.durationMs, () => {
    void (async () => {
      for (let attempt = 0; attempt < 60; attempt++) {
        const response = await context.storm.operate(context.world.master, 'DELETE', path);
        if (response?.status === 200 || response?.status === 404) return;
        await context.storm.delay(1000);
      }
    })();
  });
  return machine.addr;
};

/** The settings name other controls as seeds, and all running machines reload them. */
const seedTurnover: Fault = (context) => {
  const controls = [...context.tools.up('control')].reverse().map((machine) => machine.addr);
  if (controls.length < 3) return '';
  context.world.namedSeeds = controls.slice(0, 3);
  for (const machine of context.world.machines)
    if (machine.up) machine.incarnation.do(() => machine.reload(context.world.configuredBounds));
  context.tools.after(context.durationMs, () => {
    context.world.namedSeeds = undefined;
  });
  return controls.slice(0, 3).join(' ');
};

/** Some running machines reload their settings with a shorter heartbeat interval, and later with the original one. */
const reloadSettings: Fault = (context) => {
  const { configuredBounds } = context.world;
  const heartbeatInterval = configuredBounds.heartbeatInterval * (0.7 + context.rng() * 0.3);
  const reloaded = context.world.machines.filter((machine) => machine.up && context.rng() < 0.3);
  for (const machine of reloaded)
    machine.incarnation.do(() => machine.reload({ ...configuredBounds, heartbeatInterval }));
  context.tools.after(context.durationMs, () => {
    for (const machine of reloaded) machine.incarnation.do(() => machine.reload(configuredBounds));
  });
  return reloaded.map((machine) => machine.addr).join(' ');
};

/** The membership faults, by the names that plans use. */
export const membershipFaults: FaultTable = new Map<string, Fault>([
  ['swap-control', replaceOne('control')],
  ['swap-store', replaceOne('store')],
  ['swap-seeds', replaceSeeds],
  ['planned-control', replacePlanned('control')],
  ['planned-store', replacePlanned('store')],
  ['empty-store', emptyOne(false)],
  ['empty-then-wipe', emptyOne(true)],
  ['add-front', addMachine('front', 5)],
  ['add-control', addAndKill('control')],
  ['remove-front', removeFront],
  ['drain-front', drainFront],
  ['seed-turnover', seedTurnover],
  ['reload-settings', reloadSettings],
]);
