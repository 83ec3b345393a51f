import type { ToldRecord } from '@tillerstair/checker';
import { slotOf, rootOf } from '@tillerstair/state';
import { opKeyOf } from '@tillerstair/steward';
import type { Machine } from './machine.js';
import type { Planned, Storm } from './storm.js';
import { seededRng } from './world.js';

type Kind = Machine['kind'];

const onMachines = ['kill', 'freeze', 'power', 'cut', 'oneway', 'slow', 'wipe', 'swap'].flatMap((what) =>
  (what === 'wipe' || what === 'swap' || what === 'slow' ? ['control', 'store'] : ['control', 'store', 'front']).map((kind) => `${what}-${kind}`),
);
const onServers = ['lose-verdicts', 'cut-streams', 'tear-events', 'lie', 'decline', 'refuse', 'leave', 'own-leave', 'slow-server'];
const others = [
  'split-controls', 'isolate-controls', 'kill-proxy', 'freeze-proxy', 'kill-agent', 'power-on-ack', 'config', 'race', 'grow', 'crowd', 'pile-up',
  'add-front', 'drain-front', 'empty-store', 'swap-seeds', 'all-down',
];
export const faultKinds: readonly string[] = [...onMachines, ...onServers, ...others];

export class Faults {
  private diskBusy: Promise<void> | undefined;
  private rng = seededRng(1);
  private armed = false;
  readonly trouble: string[] = [];

  constructor(private readonly s: Storm) {}

  up(kind: Kind): readonly Machine[] {
    return this.s.w.of(kind).filter((m) => m.up && !m.life.frozen);
  }

  private pick<T>(from: readonly T[]): T | undefined {
    return from[Math.floor(this.rng() * from.length)];
  }

  private after(ms: number, run: () => void): void {
    this.s.w.clock.after(ms, run);
  }

  private isolate(ms: readonly Machine[], span: number, ways: 'both' | 'out' | 'in' = 'both'): void {
    const { w } = this.s;
    const of = (m: Machine): readonly string[] => [m.addr, `${m.addr}/data`];
    const mine = ms.flatMap(of);
    const rest = w.machines.flatMap(of).filter((a) => !mine.includes(a));
    for (const a of mine)
      for (const b of rest) {
        if (ways !== 'in') w.net.cut(a, b);
        if (ways !== 'out') w.net.cut(b, a);
      }
    this.after(span, () => w.net.mend());
  }

  async calm(): Promise<void> {
    const { w } = this.s;
    this.s.onDone = undefined;
    w.net.mend();
    for (const m of w.machines) {
      if (m.life.frozen || m.proxyLife.frozen) m.wake();
      if (!m.up) m.start();
      else if (m.kind === 'front' && !m.front) m.restartProxy();
      m.platter.delay = 0.2;
    }
    await this.ready();
  }

  private async ready(): Promise<void> {
    const { clock } = this.s.w;
    let over = this.diskBusy === undefined;
    void this.diskBusy?.then(() => {
      over = true;
    });
    if (!over) await clock.until('disks whole again', () => over, 120000);
    if (this.trouble.length > 0) throw new Error(this.trouble.join('; '));
  }

  private losesDisk(work: () => Promise<void>): string {
    if (this.diskBusy) return '';
    const going: Promise<void> = work()
      .catch((e: unknown) => {
        this.trouble.push(e instanceof Error ? e.message : String(e));
      })
      .finally(() => {
        if (this.diskBusy === going) this.diskBusy = undefined;
      });
    this.diskBusy = going;
    this.s.track(going);
    return 'disk';
  }

  private async whole(kind: Kind): Promise<void> {
    const { w } = this.s;
    for (let n = 0; n < 600; n++) {
      await this.s.wait(200);
      const s = w.committed;
      if (!s) continue;
      const ids = w.of(kind).map((m) => (kind === 'store' ? m.store?.id : m.control?.id) ?? 'none');
      if (kind === 'store' && s.slots.every((x) => x.filling.length === 0 && x.copies.every((id) => ids.includes(id)))) return;
      if (kind === 'control' && s.voters.now.every((id) => ids.includes(id)) && s.voters.now.join() === s.voters.next.join()) return;
    }
    throw new Error(`${kind}s were not whole again in time`);
  }

  private async swap(m: Machine): Promise<void> {
    const { w } = this.s;
    m.kill('power');
    w.remove(m);
    w.add(m.kind).start();
    await this.whole(m.kind);
  }

  private restart(m: Machine): void {
    if (!m.up && this.s.w.machines.includes(m)) m.start();
  }

  private trap(): void {
    this.s.onDone = (t: ToldRecord) => {
      this.s.onDone = undefined;
      this.armed = false;
      const { w } = this.s;
      const s = w.committed;
      const key = t.kind === 'call' ? opKeyOf(t.tenant, t.key) : `p/${rootOf(t.program)}`;
      const slot = s?.slots[slotOf(key, s.slots.length)];
      const hit = w.machines.filter((m) => m.up && (m.front?.p.id === slot?.steward || m.store?.id === slot?.copies[Math.floor(this.rng() * 3)]));
      for (const m of hit) m.kill('power');
      this.after(500 + this.rng() * 3000, () => {
        for (const m of hit) this.restart(m);
      });
    };
  }

  async cause(p: Planned): Promise<string> {
    const { s } = this;
    const { w } = s;
    this.rng = seededRng(s.spec.seed * 104729 + p.n);
    const span = 500 + this.rng() * 7000;
    const [what = '', kind = ''] = p.fault.split('-');
    const server = this.pick(['m1', 'm2', 's1', 's2']) ?? 'm1';
    switch (p.fault) {
      case 'all-down':
        if (this.diskBusy) return '';
        await s.allDown();
        return 'all';
      case 'config':
        s.track(s.reconfigure());
        return 'one';
      case 'race':
        s.track(Promise.all([s.reconfigure(), s.reconfigure()]));
        return 'two';
      case 'grow':
        s.track(s.reconfigure(150));
        return 'many lanes';
      case 'crowd':
        for (let i = 0; i < 30; i++) s.beginChat();
        return '30 chats';
      case 'pile-up':
        s.track(s.pileUp(60));
        return '60 urgent calls';
      case 'power-on-ack':
        if (this.armed || this.diskBusy) return '';
        this.armed = true;
        this.trap();
        return 'armed';
      case 'split-controls':
      case 'isolate-controls': {
        const all = [...w.of('control')].sort((a, b) => ((a.n * 7 + p.n) % 5) - ((b.n * 7 + p.n) % 5));
        this.isolate(what === 'isolate' ? all : all.slice(0, Math.floor(all.length / 2)), span);
        return 'cut';
      }
      case 'leave':
        return s.leave(server) ? server : '';
      case 'own-leave':
        return s.ownLeave(server) ? server : '';
      case 'lose-verdicts':
        w.servers.set(server, { loseEvery: 3 });
        break;
      case 'cut-streams':
        w.servers.set(server, { cutEvery: 3 });
        break;
      case 'tear-events':
        w.servers.set(server, { cutEvery: 2, tears: true });
        break;
      case 'lie':
        w.servers.set(server, { lies: true });
        break;
      case 'decline':
        w.servers.set(server, { declines: true });
        break;
      case 'refuse':
        w.servers.set(server, { refuses: true });
        break;
      case 'slow-server':
        w.servers.set(server, { slow: 20 });
        break;
      default:
        return this.onMachine(what, kind, span, p);
    }
    this.after(span, () => w.servers.set(server, { refuses: false, declines: false, tears: false, lies: false, loseEvery: 0, cutEvery: 0, slow: 1 }));
    return server;
  }

  private async onMachine(what: string, kind: string, span: number, p: Planned): Promise<string> {
    const { w } = this.s;
    const group: Kind = kind === 'control' || kind === 'store' ? kind : 'front';
    if (p.fault === 'swap-seeds') {
      return this.losesDisk(async () => {
        for (const m of w.of('control').slice(0, 3)) await this.swap(m);
      });
    }
    if (p.fault === 'empty-store') {
      return this.losesDisk(async () => {
        const old = this.pick(this.up('store'));
        if (!old) return;
        w.add('store').start();
        for (let n = 0; n < 120; n++) {
          const r = await this.s.operate(w.master, 'POST', `/v1/stores/${old.addr}/empty`);
          if (r?.status === 200) break;
          await this.s.wait(500);
        }
        const id = old.store?.id ?? 'none';
        for (let n = 0; n < 300; n++) {
          await this.s.wait(200);
          const s = w.committed;
          if (s?.retiring.has(id) && s.slots.every((x) => x.filling.length === 0 && !x.copies.includes(id))) break;
        }
        const s = w.committed;
        if (!s?.slots.every((x) => !x.copies.includes(id))) throw new Error('a store was not emptied in time');
        old.kill('power');
        w.remove(old);
      });
    }
    if (p.fault === 'add-front') {
      if (w.of('front').length >= 5) return '';
      w.add('front').start();
      return 'added';
    }
    const target = kind === 'control' && this.rng() < 0.6 ? w.master : this.pick(this.up(group));
    if (!target) return '';
    if (p.fault === 'drain-front') {
      const m = w.master;
      if (!m?.control || w.of('front').length < 3 || !target.front) return '';
      const path = `/v1/fronts/${target.addr}/drain`;
      void m.control.operate({ method: 'POST', path, body: '' });
      this.after(span, () => {
        void (async () => {
          for (let n = 0; n < 60; n++) {
            const r = await this.s.operate(w.master, 'DELETE', path);
            if (r?.status === 200 || r?.status === 404) return;
            await this.s.wait(1000);
          }
        })();
      });
      return target.addr;
    }
    if (what === 'wipe' || what === 'swap') {
      const got = this.losesDisk(async () => {
        if (what === 'swap') return this.swap(target);
        target.kill('power');
        target.platter.wipe();
        await this.s.wait(span);
        this.restart(target);
        await this.s.wait(500);
        return this.whole(group);
      });
      return got && target.addr;
    }
    if (kind === 'store' && this.diskBusy && what !== 'oneway') return '';
    if (kind === 'proxy' || kind === 'agent') {
      if (what === 'freeze') {
        target.proxyLife.frozen = true;
        this.after(span, () => target.proxyLife.wake());
      } else if (kind === 'proxy') {
        target.killProxy();
        this.after(span, () => {
          if (target.up && !target.front) target.restartProxy();
        });
      } else {
        target.killAgent();
        this.after(span, () => {
          if (target.up && !target.agent) target.restartAgent();
        });
      }
      return target.addr;
    }
    if (what === 'kill' || what === 'power') {
      target.kill(what === 'power' ? 'power' : 'process');
      this.after(span, () => this.restart(target));
    } else if (what === 'freeze') {
      target.freeze();
      this.after(span, () => {
        if (target.up) target.wake();
      });
    } else if (what === 'slow') {
      target.platter.delay = 400;
      this.after(span, () => {
        target.platter.delay = 0.2;
      });
    } else this.isolate([target], span, what === 'cut' ? 'both' : this.rng() < 0.5 ? 'out' : 'in');
    return target.addr;
  }
}
