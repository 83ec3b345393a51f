/** Faults and works that change which machines there are: added, replaced, emptied, drained; settings read again. */
import type { Machine } from './machine.js';
import {
  pickOf,
  type Fault,
  type FaultContext,
  type FaultTable,
  type MachineKind,
} from './storm-fault.js';

const swap =
  (kind: MachineKind): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m) return '';
    return c.tools.losesDisk(() => c.tools.swap(m)) && m.addr;
  };

const swapSeeds: Fault = (c) =>
  c.tools.losesDisk(async () => {
    for (const m of c.w.of('control').slice(0, 3)) await c.tools.swap(m);
  });

/** The new machine starts first; then the old one is told to stop and does not come back. */
const planned =
  (kind: MachineKind): Fault =>
  (c) => {
    const old = c.tools.target(c, kind);
    if (!old) return '';
    const started = c.tools.losesDisk(async () => {
      c.w.add(kind).start();
      await c.storm.wait(2 * c.w.bounds.failureTimeout);
      if (!old.up) c.tools.restart(old);
      await Promise.race([
        old.stopInOrder().catch(() => undefined),
        c.storm.wait(2 * c.w.bounds.failureTimeout),
      ]);
      if (old.up) old.kill('power');
      c.w.remove(old);
      await c.tools.whole(kind);
    });
    return started && old.addr;
  };

const isEmpty = (c: FaultContext, id: string): boolean => {
  const s = c.w.committed;
  return (
    s !== undefined &&
    s.retiring.has(id) &&
    s.slots.every((x) => x.joiningReplicas.length === 0 && !x.replicas.includes(id))
  );
};

const askUntilTaken = async (c: FaultContext, method: string, path: string): Promise<void> => {
  for (let n = 0; n < 120; n++) {
    const r = await c.storm.operate(c.w.master, method, path);
    if (r?.status === 200) return;
    await c.storm.wait(500);
  }
};

const emptyStore = async (c: FaultContext, old: Machine): Promise<void> => {
  c.w.add('store').start();
  await askUntilTaken(c, 'POST', `/v1/stores/${old.addr}/empty`);
  const id = old.store?.id ?? 'none';
  for (let n = 0; n < 300 && !isEmpty(c, id); n++) await c.storm.wait(200);
  if (!isEmpty(c, id)) throw new Error('a store was not emptied in time');
  old.kill('power');
  c.w.remove(old);
};

/** A store is emptied and goes; with `thenWipe` another one loses its disk right after. */
const empty =
  (thenWipe: boolean): Fault =>
  (c) =>
    c.tools.losesDisk(async () => {
      const old = pickOf(c.rng, c.tools.up('store'));
      if (!old) return;
      await emptyStore(c, old);
      const other = thenWipe ? pickOf(c.rng, c.tools.up('store')) : undefined;
      if (other) await c.tools.wipe(other, c.span);
    });

const mostSpares = 2;

const add =
  (kind: MachineKind, most: number): Fault =>
  (c) => {
    if (c.w.of(kind).length >= most) return '';
    c.w.add(kind).start();
    return 'added';
  };

/** A machine is added and goes again without a word. */
const addAndKill =
  (kind: MachineKind): Fault =>
  (c) => {
    const spares =
      c.w.of(kind).length -
      (kind === 'control' ? (c.w.committed?.voters.current.length ?? Infinity) : 0);
    if (spares >= mostSpares) return '';
    const m = c.w.add(kind);
    m.start();
    c.tools.after(c.span, () => {
      if (
        !c.w.machines.includes(m) ||
        c.w.committed?.voters.next.includes(m.control?.id ?? '') !== false
      )
        return;
      m.kill();
      c.w.remove(m);
    });
    return m.addr;
  };

/** A front stops in order and is removed. */
const removeFront: Fault = (c) => {
  const m = pickOf(c.rng, c.tools.up('front'));
  if (!m || c.w.of('front').length < 3) return '';
  c.storm.track(
    (async () => {
      await Promise.race([
        m.stopInOrder().catch(() => undefined),
        c.storm.wait(6 * c.w.bounds.heartbeatInterval),
      ]);
      if (m.up) m.kill();
      c.w.remove(m);
    })(),
  );
  return m.addr;
};

const drainFront: Fault = (c) => {
  const m = pickOf(c.rng, c.tools.up('front'));
  const master = c.w.master;
  if (!m?.front || !master?.control || c.w.of('front').length < 3) return '';
  const path = `/v1/fronts/${m.addr}/drain`;
  void master.control.operate({ method: 'POST', path, body: '' });
  c.tools.after(c.span, () => {
    void (async () => {
      for (let n = 0; n < 60; n++) {
        const r = await c.storm.operate(c.w.master, 'DELETE', path);
        if (r?.status === 200 || r?.status === 404) return;
        await c.storm.wait(1000);
      }
    })();
  });
  return m.addr;
};

/** The settings name other controls for seeds, and all running machines read them again. */
const seedTurnover: Fault = (c) => {
  const controls = [...c.tools.up('control')].reverse().map((m) => m.addr);
  if (controls.length < 3) return '';
  c.w.namedSeeds = controls.slice(0, 3);
  for (const m of c.w.machines) if (m.up) m.life.do(() => m.reload(c.w.outer));
  c.tools.after(c.span, () => {
    c.w.namedSeeds = undefined;
  });
  return controls.slice(0, 3).join(' ');
};

/** Some machines read changed bounds while they run, and the old ones again later. */
const reload: Fault = (c) => {
  const { outer } = c.w;
  const heartbeatInterval = outer.heartbeatInterval * (0.7 + c.rng() * 0.3);
  const some = c.w.machines.filter((m) => m.up && c.rng() < 0.3);
  for (const m of some) m.life.do(() => m.reload({ ...outer, heartbeatInterval }));
  c.tools.after(c.span, () => {
    for (const m of some) m.life.do(() => m.reload(outer));
  });
  return some.map((m) => m.addr).join(' ');
};

export const membershipFaults: FaultTable = new Map<string, Fault>([
  ['swap-control', swap('control')],
  ['swap-store', swap('store')],
  ['swap-seeds', swapSeeds],
  ['planned-control', planned('control')],
  ['planned-store', planned('store')],
  ['empty-store', empty(false)],
  ['empty-then-wipe', empty(true)],
  ['add-front', add('front', 5)],
  ['add-control', addAndKill('control')],
  ['remove-front', removeFront],
  ['drain-front', drainFront],
  ['seed-turnover', seedTurnover],
  ['reload-settings', reload],
]);
