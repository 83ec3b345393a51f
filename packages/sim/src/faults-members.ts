/** Faults and works that change which machines there are: added, replaced, emptied, drained; settings read again. */
import type { Machine } from './machine.js';
import {
  pickRandom,
  type Fault,
  type FaultContext,
  type FaultTable,
  type MachineKind,
} from './storm-fault.js';

const replace =
  (kind: MachineKind): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m) return '';
    return c.tools.runDiskLoss(() => c.tools.replaceMachine(m)) && m.addr;
  };

const replaceSeeds: Fault = (c) =>
  c.tools.runDiskLoss(async () => {
    for (const m of c.world.of('control').slice(0, 3)) await c.tools.replaceMachine(m);
  });

/** The new machine starts first; then the old one is told to stop and does not come back. */
const planned =
  (kind: MachineKind): Fault =>
  (c) => {
    const old = c.tools.target(c, kind);
    if (!old) return '';
    const started = c.tools.runDiskLoss(async () => {
      c.world.add(kind).start();
      await c.storm.delay(2 * c.world.bounds.failureTimeout);
      if (!old.up) c.tools.restart(old);
      await Promise.race([
        old.stopGracefully().catch(() => undefined),
        c.storm.delay(2 * c.world.bounds.failureTimeout),
      ]);
      if (old.up) old.kill('power');
      c.world.remove(old);
      await c.tools.untilReplicated(kind);
    });
    return started && old.addr;
  };

const isEmpty = (c: FaultContext, id: string): boolean => {
  const s = c.world.committed;
  return (
    s !== undefined &&
    s.retiring.has(id) &&
    s.slots.every((x) => x.joiningReplicas.length === 0 && !x.replicas.includes(id))
  );
};

const requestUntilAccepted = async (
  c: FaultContext,
  method: string,
  path: string,
): Promise<void> => {
  for (let n = 0; n < 120; n++) {
    const r = await c.storm.operate(c.world.master, method, path);
    if (r?.status === 200) return;
    await c.storm.delay(500);
  }
};

const emptyStore = async (c: FaultContext, old: Machine): Promise<void> => {
  c.world.add('store').start();
  await requestUntilAccepted(c, 'POST', `/v1/stores/${old.addr}/empty`);
  const id = old.store?.id ?? 'none';
  for (let n = 0; n < 300 && !isEmpty(c, id); n++) await c.storm.delay(200);
  if (!isEmpty(c, id)) throw new Error('a store was not emptied in time');
  old.kill('power');
  c.world.remove(old);
};

/** A store is emptied and goes; with `thenWipe` another one loses its disk right after. */
const empty =
  (thenWipe: boolean): Fault =>
  (c) =>
    c.tools.runDiskLoss(async () => {
      const old = pickRandom(c.rng, c.tools.up('store'));
      if (!old) return;
      await emptyStore(c, old);
      const other = thenWipe ? pickRandom(c.rng, c.tools.up('store')) : undefined;
      if (other) await c.tools.wipe(other, c.durationMs);
    });

const mostSpares = 2;

const add =
  (kind: MachineKind, most: number): Fault =>
  (c) => {
    if (c.world.of(kind).length >= most) return '';
    c.world.add(kind).start();
    return 'added';
  };

/** A machine is added and goes again without a word. */
const addAndKill =
  (kind: MachineKind): Fault =>
  (c) => {
    const spares =
      c.world.of(kind).length -
      (kind === 'control' ? (c.world.committed?.voters.current.length ?? Infinity) : 0);
    if (spares >= mostSpares) return '';
    const m = c.world.add(kind);
    m.start();
    c.tools.after(c.durationMs, () => {
      if (
        !c.world.machines.includes(m) ||
        c.world.committed?.voters.next.includes(m.control?.id ?? '') !== false
      )
        return;
      m.kill();
      c.world.remove(m);
    });
    return m.addr;
  };

/** A front stops in order and is removed. */
const removeFront: Fault = (c) => {
  const m = pickRandom(c.rng, c.tools.up('front'));
  if (!m || c.world.of('front').length < 3) return '';
  c.storm.track(
    (async () => {
      await Promise.race([
        m.stopGracefully().catch(() => undefined),
        c.storm.delay(6 * c.world.bounds.heartbeatInterval),
      ]);
      if (m.up) m.kill();
      c.world.remove(m);
    })(),
  );
  return m.addr;
};

const drainFront: Fault = (c) => {
  const m = pickRandom(c.rng, c.tools.up('front'));
  const master = c.world.master;
  if (!m?.front || !master?.control || c.world.of('front').length < 3) return '';
  const path = `/v1/fronts/${m.addr}/drain`;
  void master.control.operate({ method: 'POST', path, body: '' });
  c.tools.after(c.durationMs, () => {
    void (async () => {
      for (let n = 0; n < 60; n++) {
        const r = await c.storm.operate(c.world.master, 'DELETE', path);
        if (r?.status === 200 || r?.status === 404) return;
        await c.storm.delay(1000);
      }
    })();
  });
  return m.addr;
};

/** The settings name other controls for seeds, and all running machines read them again. */
const seedTurnover: Fault = (c) => {
  const controls = [...c.tools.up('control')].reverse().map((m) => m.addr);
  if (controls.length < 3) return '';
  c.world.namedSeeds = controls.slice(0, 3);
  for (const m of c.world.machines)
    if (m.up) m.incarnation.do(() => m.reload(c.world.configuredBounds));
  c.tools.after(c.durationMs, () => {
    c.world.namedSeeds = undefined;
  });
  return controls.slice(0, 3).join(' ');
};

/** Some machines read changed bounds while they run, and the old ones again later. */
const reload: Fault = (c) => {
  const { configuredBounds } = c.world;
  const heartbeatInterval = configuredBounds.heartbeatInterval * (0.7 + c.rng() * 0.3);
  const some = c.world.machines.filter((m) => m.up && c.rng() < 0.3);
  for (const m of some)
    m.incarnation.do(() => m.reload({ ...configuredBounds, heartbeatInterval }));
  c.tools.after(c.durationMs, () => {
    for (const m of some) m.incarnation.do(() => m.reload(configuredBounds));
  });
  return some.map((m) => m.addr).join(' ');
};

/** These faults by name. */
export const membershipFaults: FaultTable = new Map<string, Fault>([
  ['swap-control', replace('control')],
  ['swap-store', replace('store')],
  ['swap-seeds', replaceSeeds],
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
