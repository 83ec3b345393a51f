/** Faults of the network: cuts of every form, connections reset, messages late and lost. */
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

const cut =
  (kind: MachineKind, manner: CutEffect): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m || (kind === 'store' && c.tools.isDiskLost)) return '';
    c.tools.isolate([m], c.durationMs, 'both', manner);
    return m.addr;
  };

const oneWay =
  (kind: MachineKind): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m) return '';
    c.tools.isolate([m], c.durationMs, c.rng() < 0.5 ? 'out' : 'in');
    return m.addr;
  };

/** The controls in an order that differs from fault to fault. */
const shuffled = (c: FaultContext): readonly Machine[] =>
  [...c.world.of('control')].sort(
    (a, b) => ((a.index * 7 + c.index) % 5) - ((b.index * 7 + c.index) % 5),
  );

const splitControls =
  (share: number): Fault =>
  (c) => {
    const all = shuffled(c);
    c.tools.isolate(all.slice(0, Math.floor(all.length * share)), c.durationMs);
    return 'cut';
  };

/** A minority of the controls is cut off, and machines are restarted with those as their seeds. */
const cutSeeds: Fault = (c) => {
  const all = shuffled(c);
  const away = all.slice(0, Math.floor((all.length - 1) / 2));
  const restarted = pickRandom(
    c.rng,
    [...c.tools.up('front'), ...c.tools.up('store')].filter(() => !c.tools.isDiskLost),
  );
  if (away.length === 0 || !restarted) return '';
  c.world.namedSeeds = [...away, ...all].slice(0, 3).map((m) => m.addr);
  c.tools.isolate(away, c.durationMs);
  c.tools.killFor(restarted, 'process', 300);
  c.tools.after(c.durationMs, () => {
    c.world.namedSeeds = undefined;
  });
  return `${away.map((m) => m.addr).join(' ')}, restarted ${restarted.addr}`;
};

/** A minority of the controls is cut off and restarted, then the others are. */
const cutBoth: Fault = (c) => {
  const all = shuffled(c);
  const away = all.slice(0, Math.floor((all.length - 1) / 2));
  if (away.length === 0 || c.tools.isDiskLost) return '';
  c.tools.isolate(away, c.durationMs);
  for (const m of away) if (m.up) c.tools.killFor(m, 'process', 200);
  c.tools.after(c.durationMs / 2, () => {
    for (const m of all) if (m.up && !away.includes(m)) c.tools.killFor(m, 'process', 200);
  });
  return away.map((m) => m.addr).join(' ');
};

/** A machine is cut off from all controls and stores, not from fronts and servers. */
const cutFromCore: Fault = (c) => {
  const m = pickRandom(c.rng, c.tools.up('front'));
  if (!m) return '';
  c.tools.isolate([m], c.durationMs, 'both', 'silent', ['control', 'store']);
  return m.addr;
};

/** A front reaches some servers no longer, while others do. */
const cutFromServers: Fault = (c) => {
  const m = pickRandom(c.rng, c.tools.up('front'));
  if (!m) return '';
  const pair = `${m.addr}>${c.server}`;
  c.world.servers.cutFronts.add(pair);
  c.tools.after(c.durationMs, () => c.world.servers.cutFronts.delete(pair));
  return pair;
};

/** Half of a machine's connections are reset, several times. */
const resetConnections =
  (kind: MachineKind): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m) return '';
    const share = 0.5;
    for (let n = 0; n < 5; n++)
      c.tools.after((c.durationMs / 5) * n, () => {
        c.world.net.reset(m.addr, share);
        c.world.net.reset(`${m.addr}/data`, share);
      });
    return m.addr;
  };

/** Messages are late, so that later ones overtake them, and some are lost. */
const lossy: Fault = (c) => {
  const { net } = c.world;
  const fate = (): { lost: boolean; extraDelayMs: number; duplicates: number } => ({
    lost: c.rng() < 0.02,
    extraDelayMs: c.rng() < 0.1 ? c.rng() * 300 : 0,
    duplicates: 0,
  });
  net.deliveryFaults = fate;
  c.tools.after(c.durationMs, () => {
    if (net.deliveryFaults === fate) net.deliveryFaults = undefined;
  });
  return 'all';
};

/** These faults by name. */
export const networkFaults: FaultTable = new Map<string, Fault>([
  ...kinds.flatMap((kind): [string, Fault][] => [
    [`cut-${kind}`, cut(kind, 'silent')],
    [`oneway-${kind}`, oneWay(kind)],
    [`reset-${kind}`, resetConnections(kind)],
  ]),
  ['cut-reset', cut('control', 'reset')],
  ['cut-refuse', cut('control', 'refuse')],
  ['split-controls', splitControls(0.5)],
  ['isolate-controls', splitControls(1)],
  ['cut-seeds', cutSeeds],
  ['cut-both', cutBoth],
  ['cut-from-core', cutFromCore],
  ['cut-from-servers', cutFromServers],
  ['lossy', lossy],
]);
