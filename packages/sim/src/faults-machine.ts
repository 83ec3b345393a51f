/** Faults of machines and their processes: killed, without power, frozen, slow, restarted in order. */
import { opKeyOf } from '@tillerstair/session-owner';
import { rootProgramId, slotForKey } from '@tillerstair/state';
import type { Machine } from './machine.js';
import {
  pickRandom,
  type Fault,
  type FaultContext,
  type FaultTable,
  type MachineKind,
} from './storm-fault.js';

const kinds: readonly MachineKind[] = ['control', 'store', 'front'];

/** Stores that are down while another's disk is lost would be a loss more than is borne. */
const mustStay = (c: FaultContext, kind: MachineKind): boolean =>
  kind === 'store' && c.tools.isDiskLost;

const kill =
  (kind: MachineKind, how: 'process' | 'power'): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m || mustStay(c, kind)) return '';
    c.tools.killFor(m, how, c.durationMs);
    return m.addr;
  };

const freeze =
  (kind: MachineKind): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m || mustStay(c, kind)) return '';
    m.freeze();
    c.tools.after(c.durationMs, () => {
      if (m.up) m.wake();
    });
    return m.addr;
  };

const slowMs = 40;

/** A machine works slower: what it sends and is sent comes late. */
const slow =
  (kind: MachineKind): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m) return '';
    const { net } = c.world;
    const before = net.extraLatency;
    const isOfIt = (addr: string): boolean => addr.split('/')[0] === m.addr;
    const late = (from: string, to: string): number =>
      before(from, to) + (isOfIt(from) || isOfIt(to) ? slowMs : 0);
    net.extraLatency = late;
    c.tools.after(c.durationMs, () => {
      if (net.extraLatency === late) net.extraLatency = before;
    });
    return m.addr;
  };

const stopGracefully = async (c: FaultContext, m: Machine): Promise<void> => {
  const end = m.stopGracefully().catch(() => undefined);
  await Promise.race([end, c.storm.delay(6 * c.world.bounds.heartbeatInterval)]);
  if (m.up) m.kill();
};

/** All machines of a kind are stopped in order and started again, one after the other. */
const roll =
  (kind: MachineKind): Fault =>
  (c) => {
    const all = [...c.world.of(kind)];
    const work = async (): Promise<void> => {
      for (const m of all) {
        if (!m.up || m.incarnation.frozen) continue;
        await stopGracefully(c, m);
        await c.storm.delay(100 + c.rng() * 900);
        c.tools.restart(m);
        await c.storm.delay(2 * c.world.bounds.failureTimeout);
      }
    };
    if (kind !== 'front') return c.tools.runDiskLoss(work);
    c.storm.track(work());
    return all.map((m) => m.addr).join(' ');
  };

/** Most machines of a kind are killed at once. */
const herd =
  (kind: MachineKind, how: 'process' | 'power'): Fault =>
  (c) => {
    if (mustStay(c, kind)) return '';
    const all = c.tools.up(kind);
    const hit = all.slice(0, Math.ceil(all.length * 0.6));
    for (const m of hit) c.tools.killFor(m, how, c.durationMs);
    return hit.map((m) => m.addr).join(' ');
  };

/** All machines whose loss counts go at once and come back; fronts stay up. */
const coreDown =
  (how: 'process' | 'power'): Fault =>
  (c) => {
    if (c.tools.isDiskLost) return '';
    for (const m of [...c.world.of('control'), ...c.world.of('store')]) {
      m.kill(how);
      c.tools.after(Math.min(c.durationMs, 1000) * (0.5 + c.rng() / 2), () => c.tools.restart(m));
    }
    return 'controls and stores';
  };

/** Right after a caller's work was done, those that hold it lose power. */
const powerOnWork =
  (whole: boolean): Fault =>
  (c) => {
    const { tools, storm, world: w } = c;
    if (tools.armed || tools.isDiskLost) return '';
    tools.armed = true;
    storm.onDone = (t) => {
      storm.onDone = undefined;
      tools.armed = false;
      if (tools.isDiskLost) return;
      const s = w.committed;
      const key = t.kind === 'call' ? opKeyOf(t.tenant, t.key) : `p/${rootProgramId(t.program)}`;
      const slot = s?.slots[slotForKey(key, s.slots.length)];
      const keepsIt = (m: Machine): boolean =>
        m.front?.id === slot?.owner || m.store?.id === slot?.replicas[Math.floor(c.rng() * 3)];
      const hit = w.machines.filter((m) => m.up && (whole ? m.kind !== 'front' : keepsIt(m)));
      for (const m of hit) m.kill('power');
      tools.after(500 + c.rng() * 3000, () => hit.forEach((m) => tools.restart(m)));
    };
    return 'armed';
  };

const proxy =
  (what: 'kill' | 'freeze' | 'agent'): Fault =>
  (c) => {
    const m = pickRandom(c.rng, c.tools.up('front'));
    if (!m) return '';
    if (what === 'freeze') {
      m.proxyIncarnation.frozen = true;
      c.tools.after(c.durationMs, () => m.proxyIncarnation.wake());
    } else if (what === 'kill') {
      m.killProxy();
      c.tools.after(c.durationMs, () => {
        if (m.up && !m.front) m.restartProxy();
      });
    } else {
      m.killAgent();
      c.tools.after(c.durationMs, () => {
        if (m.up && !m.agent) m.restartAgent();
      });
    }
    return m.addr;
  };

/** Everything stops at once and starts again. */
const allDown =
  (how: 'process' | 'power'): Fault =>
  async (c) => {
    if (c.tools.isDiskLost) return '';
    await c.storm.restartAll(how);
    return 'all';
  };

/** These faults by name. */
export const machineFaults: FaultTable = new Map<string, Fault>([
  ...kinds.flatMap((kind): [string, Fault][] => [
    [`kill-${kind}`, kill(kind, 'process')],
    [`power-${kind}`, kill(kind, 'power')],
    [`freeze-${kind}`, freeze(kind)],
    [`sluggish-${kind}`, slow(kind)],
    [`roll-${kind}`, roll(kind)],
  ]),
  ['herd-kill-front', herd('front', 'process')],
  ['herd-power-front', herd('front', 'power')],
  ['core-killed', coreDown('process')],
  ['core-power', coreDown('power')],
  ['power-on-ack', powerOnWork(false)],
  ['core-power-on-ack', powerOnWork(true)],
  ['kill-proxy', proxy('kill')],
  ['freeze-proxy', proxy('freeze')],
  ['kill-agent', proxy('agent')],
  ['all-down', allDown('power')],
  ['all-killed', allDown('process')],
]);
