/** Network faults of storms: partitions of every form, reset connections, and late or lost messages. */
import type { Machine } from './machine.js';
import type { CutEffect } from './sim-net.js';
import {
  pickRandom,
  type Fault,
  type FaultContext,
  type FaultTable,
  type MachineKind,
} from './storm-fault.js';

const kinds: readonly MachineKind[] = ['control', 'store', 'front'];

const isolateMachine =
  (kind: MachineKind, effect: CutEffect): Fault =>
  (context) => {
    const machine = context.tools.target(context, kind);
    if (!machine || (kind === 'store' && context.tools.isDiskLost)) return '';
    context.tools.isolate([machine], context.durationMs, 'both', effect);
    return machine.addr;
  };

const isolateOneWay =
  (kind: MachineKind): Fault =>
  (context) => {
    const machine = context.tools.target(context, kind);
    if (!machine) return '';
    context.tools.isolate([machine], context.durationMs, context.rng() < 0.5 ? 'out' : 'in');
    return machine.addr;
  };

/** The controls in an order that depends on the fault's index in the plan. */
const shuffledControls = (context: FaultContext): readonly Machine[] =>
  [...context.world.of('control')].sort(
    (a, b) => ((a.index * 7 + context.index) % 5) - ((b.index * 7 + context.index) % 5),
  );

/** Cuts a share of the controls off from all other machines. */
const splitControls =
  (share: number): Fault =>
  (context) => {
    const controls = shuffledControls(context);
    context.tools.isolate(
      controls.slice(0, Math.floor(controls.length * share)),
      context.durationMs,
    );
    return 'cut';
  };

/** A minority of the controls is cut off, and one front or store is restarted with these as its first seeds. */
const cutSeeds: Fault = (context) => {
  const controls = shuffledControls(context);
  const minority = controls.slice(0, Math.floor((controls.length - 1) / 2));
  const restarted = pickRandom(
    context.rng,
    [...context.tools.up('front'), ...context.tools.up('store')].filter(
      () => !context.tools.isDiskLost,
    ),
  );
  if (minority.length === 0 || !restarted) return '';
  context.world.namedSeeds = [...minority, ...controls].slice(0, 3).map((machine) => machine.addr);
  context.tools.isolate(minority, context.durationMs);
  context.tools.killFor(restarted, 'process', 300);
  context.tools.after(context.durationMs, () => {
    context.world.namedSeeds = undefined;
  });
  return `${minority.map((machine) => machine.addr).join(' ')}, restarted ${restarted.addr}`;
};

/** A minority of the controls is cut off and restarted, then the other controls are restarted. */
const cutAndRestartControls: Fault = (context) => {
  const controls = shuffledControls(context);
  const minority = controls.slice(0, Math.floor((controls.length - 1) / 2));
  if (minority.length === 0 || context.tools.isDiskLost) return '';
  context.tools.isolate(minority, context.durationMs);
  for (const machine of minority) if (machine.up) context.tools.killFor(machine, 'process', 200);
  context.tools.after(context.durationMs / 2, () => {
    for (const machine of controls)
      if (machine.up && !minority.includes(machine)) context.tools.killFor(machine, 'process', 200);
  });
  return minority.map((machine) => machine.addr).join(' ');
};

/** A front is cut off from all controls and stores, but not from fronts and servers. */
const cutFromCore: Fault = (context) => {
  const machine = pickRandom(context.rng, context.tools.up('front'));
  if (!machine) return '';
  context.tools.isolate([machine], context.durationMs, 'both', 'silent', ['control', 'store']);
  return machine.addr;
};

/** One front can no longer connect to one server, while the other fronts can. */
const cutFromServers: Fault = (context) => {
  const machine = pickRandom(context.rng, context.tools.up('front'));
  if (!machine) return '';
  const pair = `${machine.addr}>${context.server}`;
  context.world.servers.cutFronts.add(pair);
  context.tools.after(context.durationMs, () => context.world.servers.cutFronts.delete(pair));
  return pair;
};

/** Half of a machine's connections are reset, five times over the duration. */
const resetConnections =
  (kind: MachineKind): Fault =>
  (context) => {
    const machine = context.tools.target(context, kind);
    if (!machine) return '';
    const share = 0.5;
    for (let i = 0; i < 5; i++)
      context.tools.after((context.durationMs / 5) * i, () => {
        context.world.net.reset(machine.addr, share);
        context.world.net.reset(`${machine.addr}/data`, share);
      });
    return machine.addr;
  };

/** One message in ten is delayed, so that later ones may overtake it, and one in fifty is lost. */
const lossy: Fault = (context) => {
  const { net } = context.world;
  const deliveryFaults = (): { lost: boolean; extraDelayMs: number; duplicates: number } => ({
    lost: context.rng() < 0.02,
    extraDelayMs: context.rng() < 0.1 ? context.rng() * 300 : 0,
    duplicates: 0,
  });
  net.deliveryFaults = deliveryFaults;
  context.tools.after(context.durationMs, () => {
    if (net.deliveryFaults === deliveryFaults) net.deliveryFaults = undefined;
  });
  return 'all';
};

/** The network faults, by the names that plans use. */
export const networkFaults: FaultTable = new Map<string, Fault>([
  ...kinds.flatMap((kind): [string, Fault][] => [
    [`cut-${kind}`, isolateMachine(kind, 'silent')],
    [`oneway-${kind}`, isolateOneWay(kind)],
    [`reset-${kind}`, resetConnections(kind)],
  ]),
  ['cut-reset', isolateMachine('control', 'reset')],
  ['cut-refuse', isolateMachine('control', 'refuse')],
  ['split-controls', splitControls(0.5)],
  ['isolate-controls', splitControls(1)],
  ['cut-seeds', cutSeeds],
  ['cut-both', cutAndRestartControls],
  ['cut-from-core', cutFromCore],
  ['cut-from-servers', cutFromServers],
  ['lossy', lossy],
]);
