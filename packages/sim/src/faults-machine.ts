/** Faults of machines and their processes: killed, without power, frozen, slow, restarted in order. */
import { opKeyOf } from '@tillerstair/session-owner';
import { rootProgramId, slotForKey } from '@tillerstair/state';
import type { Machine } from './machine.js';
import {
  pickOf,
  type Fault,
  type FaultContext,
  type FaultTable,
  type MachineKind,
} from './storm-fault.js';

const kinds: readonly MachineKind[] = ['control', 'store', 'front'];

/** Stores that are down while another's disk is lost would be a loss more than is borne. */
const spared = (c: FaultContext, kind: MachineKind): boolean =>
  kind === 'store' && c.tools.diskBusy;

const kill =
  (kind: MachineKind, how: 'process' | 'power'): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m || spared(c, kind)) return '';
    c.tools.killFor(m, how, c.span);
    return m.addr;
  };

const freeze =
  (kind: MachineKind): Fault =>
  (c) => {
    const m = c.tools.target(c, kind);
    if (!m || spared(c, kind)) return '';
    m.freeze();
    c.tools.after(c.span, () => {
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
    const { net } = c.w;
    const before = net.apart;
    const isOfIt = (addr: string): boolean => addr.split('/')[0] === m.addr;
    const late = (from: string, to: string): number =>
      before(from, to) + (isOfIt(from) || isOfIt(to) ? slowMs : 0);
    net.apart = late;
    c.tools.after(c.span, () => {
      if (net.apart === late) net.apart = before;
    });
    return m.addr;
  };

const stopInOrder = async (c: FaultContext, m: Machine): Promise<void> => {
  const end = m.stopInOrder().catch(() => undefined);
  await Promise.race([end, c.storm.wait(6 * c.w.bounds.heartbeatInterval)]);
  if (m.up) m.kill();
};

/** All machines of a kind are stopped in order and started again, one after the other. */
const roll =
  (kind: MachineKind): Fault =>
  (c) => {
    const all = [...c.w.of(kind)];
    const work = async (): Promise<void> => {
      for (const m of all) {
        if (!m.up || m.life.frozen) continue;
        await stopInOrder(c, m);
        await c.storm.wait(100 + c.rng() * 900);
        c.tools.restart(m);
        await c.storm.wait(2 * c.w.bounds.failureTimeout);
      }
    };
    if (kind !== 'front') return c.tools.losesDisk(work);
    c.storm.track(work());
    return all.map((m) => m.addr).join(' ');
  };

/** Most machines of a kind are killed at once. */
const herd =
  (kind: MachineKind, how: 'process' | 'power'): Fault =>
  (c) => {
    if (spared(c, kind)) return '';
    const all = c.tools.up(kind);
    const hit = all.slice(0, Math.ceil(all.length * 0.6));
    for (const m of hit) c.tools.killFor(m, how, c.span);
    return hit.map((m) => m.addr).join(' ');
  };

/** All machines whose loss counts go at once and come back; fronts stay up. */
const coreDown =
  (how: 'process' | 'power'): Fault =>
  (c) => {
    if (c.tools.diskBusy) return '';
    for (const m of [...c.w.of('control'), ...c.w.of('store')]) {
      m.kill(how);
      c.tools.after(Math.min(c.span, 1000) * (0.5 + c.rng() / 2), () => c.tools.restart(m));
    }
    return 'controls and stores';
  };

/** Right after a caller's work was done, those that hold it lose power. */
const powerOnWork =
  (whole: boolean): Fault =>
  (c) => {
    const { tools, storm, w } = c;
    if (tools.armed || tools.diskBusy) return '';
    tools.armed = true;
    storm.onDone = (t) => {
      storm.onDone = undefined;
      tools.armed = false;
      if (tools.diskBusy) return;
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
    const m = pickOf(c.rng, c.tools.up('front'));
    if (!m) return '';
    if (what === 'freeze') {
      m.proxyLife.frozen = true;
      c.tools.after(c.span, () => m.proxyLife.wake());
    } else if (what === 'kill') {
      m.killProxy();
      c.tools.after(c.span, () => {
        if (m.up && !m.front) m.restartProxy();
      });
    } else {
      m.killAgent();
      c.tools.after(c.span, () => {
        if (m.up && !m.agent) m.restartAgent();
      });
    }
    return m.addr;
  };

/** Everything stops at once and starts again. */
const allDown =
  (how: 'process' | 'power'): Fault =>
  async (c) => {
    if (c.tools.diskBusy) return '';
    await c.storm.allDown(how);
    return 'all';
  };

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
