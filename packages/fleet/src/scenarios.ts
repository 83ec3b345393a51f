import { z } from 'zod';
import { until, type Machine } from './fleet.js';
import { ask } from './operator.js';
import type { Run } from './run.js';

export interface Scenario {
  readonly about: string;
  readonly cuts: boolean;
  readonly seconds: number;
  readonly aims?: readonly string[];
  readonly still?: boolean;
  during(run: Run): Promise<void>;
}

const wait = (ms: number): Promise<void> => new Promise((done) => setTimeout(done, ms));

const killEach = (kind: Machine['kind'], how: 'kill' | 'freeze' | 'wipe') => async (run: Run): Promise<void> => {
  await wait(1500);
  const targets = kind === 'control' ? [await run.fleet.master(), run.pick(run.fleet.of(kind))] : [run.pick(run.fleet.of(kind))];
  for (const m of targets) {
    if (!m) continue;
    run.note(`${how} ${m.kind}-${m.n}`);
    if (how === 'freeze') for (const p of m.procs) p.freeze();
    else await run.fleet.stop([m]);
    if (how === 'wipe') for (const p of m.procs) p.wipe();
    await wait(how === 'freeze' ? 6000 : 4000);
    if (how === 'freeze') for (const p of m.procs) p.wake();
    else run.fleet.start([m]);
    run.note(`back ${m.kind}-${m.n}`);
    await wait(4000);
  }
};

const cutOff = async (run: Run, mine: readonly Machine[], ms: number): Promise<void> => {
  const { fleet } = run;
  const all = [...fleet.of('control'), ...fleet.of('store'), ...fleet.of('front')];
  for (const a of mine)
    for (const b of all) {
      if (mine.includes(b)) continue;
      for (const x of [a.addr, ...a.extra]) for (const y of [b.addr, ...b.extra]) fleet.relay.cutBoth(x, y);
    }
  run.note(`cut ${mine.map((m) => `${m.kind}-${m.n}`).join(' ')} for ${ms} ms`);
  await wait(ms);
  fleet.relay.mend();
  run.note('mended');
  await wait(4000);
};

const replace = async (run: Run, m: Machine): Promise<Machine> => {
  const fresh = await run.fleet.add(m.kind);
  await run.fleet.remove(m);
  run.fleet.start([fresh]);
  run.note(`replaced ${m.kind}-${m.n} by ${fresh.kind}-${fresh.n}`);
  return fresh;
};

const JoiningReplicas = z.object({
  nodes: z.array(z.object({ id: z.string(), addr: z.string() })),
  stores: z.array(z.object({ store: z.string(), slotsHeld: z.number() })),
  slots: z.object({ count: z.number(), joiningReplicas: z.number() }),
});

const filled = async (run: Run): Promise<boolean> => {
  const got = JoiningReplicas.safeParse((await run.fleet.operator.any('GET', '/v1/status')).body);
  if (!got.success) return false;
  const { nodes, stores, slots } = got.data;
  const holds = (addr: string): boolean => {
    const id = nodes.find((n) => n.addr === addr)?.id;
    return stores.find((s) => s.store === id)?.slotsHeld === slots.count;
  };
  return slots.joiningReplicas === 0 && run.fleet.of('store').every((m) => holds(m.addr));
};

const restartAll = async (run: Run): Promise<void> => {
  await run.resync();
  const configBefore = run.version;
  const stoppedAt = Date.now();
  await run.fleet.stop();
  const startedAt = Date.now();
  run.fleet.start(['control', 'store', 'front'].flatMap((k) => run.fleet.of(k === 'control' ? 'control' : k === 'store' ? 'store' : 'front')));
  await run.serving(30000);
  const servedAt = Date.now();
  const after = await run.fleet.operator.config();
  run.restarts.push({ stoppedAt, startedAt, servedAt, configBefore, configAfter: after?.version ?? 0 });
  run.note(`serving again after ${servedAt - startedAt} ms`);
};

const inUse = (run: Run): Run['fleet']['models'] => {
  const used = new Set(run.fleet.executions.all().map((r) => r.server));
  return run.fleet.models.filter((m) => used.has(m.options.id));
};

const markDraining = async (run: Run, id: string): Promise<number> => {
  for (let n = 0; n < 5; n++) {
    const at = Date.now();
    const mark = await run.fleet.operator.any('POST', `/v1/servers/${id}/draining`);
    run.note(`draining ${id}: ${mark.status}`);
    if (mark.status === 200) return at;
  }
  throw new Error('the mark was not taken');
};

const replaceServers = async (run: Run): Promise<void> => {
  await wait(1500);
  const { fleet } = run;
  for (const s of [...fleet.models.slice(0, 3), ...fleet.services.slice(0, 2)]) {
    const at = await markDraining(run, s.options.id);
    await wait(5000);
    run.drainings.push({ server: s.options.id, at, until: Date.now() });
    await s.stop();
    await s.start();
    await fleet.registerOne(s.options.id, s.options.pool, s.options.addr);
  }
};

const ownDraining = async (run: Run): Promise<void> => {
  await wait(2000);
  const s = run.pick(inUse(run));
  s.set({ draining: true });
  const at = Date.now();
  await wait(6000);
  run.drainings.push({ server: s.options.id, at, until: Date.now() });
  s.set({ draining: false });
};

export const scenarios: ReadonlyMap<string, Scenario> = new Map<string, Scenario>([
  ['calm', { about: 'No failure at all', cuts: false, seconds: 10, during: async (run) => { await wait(3000); await run.put(5); } }],
  ['shares', {
    about: 'Work is split by the shares while weights are tuned and the master changes', cuts: false, seconds: 16, aims: ['shares'], still: true,
    during: async (run) => {
      await wait(1000);
      const { house } = run.spec;
      const shares = (pool: string): [string, number][] => [[pool, 1], [`${pool}-b`, 1]];
      const from = Date.now();
      await wait(5000);
      const master = await run.fleet.master();
      if (!master) throw new Error('no master to kill');
      await run.fleet.stop([master]);
      await wait(6000);
      run.fleet.start([master]);
      const to = Date.now();
      const rounding = 4 * run.fleet.of('front').length;
      run.shares.push({ kind: 'generate', from, to, shares: shares(house.modelPool), rounding }, { kind: 'act', from, to, shares: shares(house.servicePool), rounding });
    },
  }],
  ['kill-control', { about: 'The master and another control are killed and come back', cuts: false, seconds: 18, during: killEach('control', 'kill') }],
  ['freeze-control', { about: 'The master and another control are frozen and woken', cuts: false, seconds: 22, during: killEach('control', 'freeze') }],
  ['wipe-control', { about: 'Controls lose their disks', cuts: false, seconds: 22, during: killEach('control', 'wipe') }],
  ['kill-store', { about: 'A store is killed and comes back', cuts: false, seconds: 12, during: killEach('store', 'kill') }],
  ['freeze-store', { about: 'A store is frozen and woken', cuts: false, seconds: 14, during: killEach('store', 'freeze') }],
  ['wipe-store', {
    about: 'A store loses its disk and is refilled', cuts: false, seconds: 25,
    during: async (run) => {
      await killEach('store', 'wipe')(run);
      run.note(`refilled after ${await until('refill', 40000, () => filled(run))} ms`);
    },
  }],
  ['kill-front', { about: 'A front machine is killed and comes back', cuts: false, seconds: 12, during: killEach('front', 'kill') }],
  ['freeze-front', { about: 'A front machine is frozen and woken', cuts: false, seconds: 14, during: killEach('front', 'freeze') }],
  ['kill-proxy', {
    about: 'A proxy and later an agent are killed apart from each other', cuts: false, seconds: 16,
    during: async (run) => {
      await wait(1500);
      const m = run.pick(run.fleet.of('front'));
      for (const p of m.procs) {
        run.note(`kill ${p.name}`);
        await p.end();
        await wait(2500);
        p.start();
        await wait(3000);
      }
    },
  }],
  ['freeze-proxy', {
    about: 'A proxy is frozen and woken while its agent goes on', cuts: false, seconds: 14,
    during: async (run) => {
      await wait(1500);
      const p = run.pick(run.fleet.of('front')).procs[0];
      p?.freeze();
      await wait(5000);
      p?.wake();
      await wait(3000);
    },
  }],
  ['split-controls', {
    about: 'The control group is cut two to three', cuts: true, seconds: 18,
    during: async (run) => {
      await wait(1500);
      const master = await run.fleet.master();
      const side = [...new Set([...(master ? [master] : []), ...run.fleet.of('control')])].slice(0, 2);
      const cut = cutOff(run, side, 7000);
      await wait(500);
      const inside = side[0];
      if (inside) await run.put(1, inside.http);
      await wait(4500);
      await run.resync();
      await run.put(1);
      await cut;
    },
  }],
  ['cut-controls', {
    about: 'The whole control group is cut off from everything else', cuts: true, seconds: 18,
    during: async (run) => {
      await wait(1500);
      await cutOff(run, run.fleet.of('control'), 6000);
    },
  }],
  ['cut-store', {
    about: 'A single store is isolated', cuts: true, seconds: 15,
    during: async (run) => {
      await wait(1500);
      await cutOff(run, [run.pick(run.fleet.of('store'))], 6000);
    },
  }],
  ['cut-front', {
    about: 'A single front is isolated, servers are marked draining meanwhile', cuts: true, seconds: 16, aims: ['draining', 'in force'],
    during: async (run) => {
      await wait(1500);
      const s = run.pick(inUse(run));
      const cut = cutOff(run, [run.pick(run.fleet.of('front'))], 7000);
      await wait(300);
      const at = await markDraining(run, s.options.id);
      await cut;
      run.drainings.push({ server: s.options.id, at, until: Date.now() });
    },
  }],
  ['replace-servers', { about: 'Servers are marked draining and replaced one by one', cuts: false, seconds: 32, aims: ['draining'], during: replaceServers }],
  ['own-draining', { about: 'A server reports by itself that it leaves', cuts: false, seconds: 12, aims: ['draining'], during: ownDraining }],
  ['lose-answers', {
    about: 'Servers finish work whose answer never comes back', cuts: false, seconds: 12, aims: ['skips, repeats'],
    during: async (run) => {
      for (const s of [...run.fleet.models, ...run.fleet.services]) s.set({ loseEnd: 7 });
      for (const s of run.fleet.models) s.set({ cutAfter: 11 });
      await wait(9000);
      for (const s of [...run.fleet.models, ...run.fleet.services]) s.set({ loseEnd: 0, cutAfter: 0 });
    },
  }],
  ['racing-operators', {
    about: 'Two operators hand in configurations at the same moment, many times, growing by many routes', cuts: false, seconds: 15, aims: ['in force'],
    during: async (run) => {
      const controls = run.fleet.of('control');
      for (let i = 0; i < 8; i++) {
        await Promise.all([run.put(20, run.pick(controls).http), run.put(20, run.pick(controls).http)]);
        await run.resync();
        await wait(800);
      }
    },
  }],
  ['crowd', {
    about: 'A crowd arrives at once', cuts: false, seconds: 12,
    during: async (run) => {
      await wait(2000);
      for (let i = 0; i < 150; i++) run.traffic.begin(3);
      await wait(8000);
    },
  }],
  ['replace-controls', {
    about: 'All three seed machines are exchanged one after another, then everything restarts', cuts: false, seconds: 75, aims: ['full stop'],
    during: async (run) => {
      for (const m of run.fleet.of('control').slice(0, 3)) {
        run.fleet.useSeeds(run.fleet.of('control').filter((x) => x !== m).slice(-3));
        const fresh = await replace(run, m);
        const took = await until('the newcomer to vote', 40000, async () => {
          const r = await ask('GET', `http://${fresh.http}/v1/view`, '', 500);
          const mine = JSON.stringify(r.body);
          const id = /"id":"(c-[0-9a-f]+)"/.exec(mine)?.[1] ?? 'none';
          return new RegExp(`"controls","[^"]*${id}`).test(mine);
        });
        run.note(`votes after ${took} ms`);
      }
      await restartAll(run);
      await run.put(1);
    },
  }],
  ['replace-store', {
    about: 'A store machine is swapped for an empty one at a new address', cuts: false, seconds: 30,
    during: async (run) => {
      await wait(1500);
      await replace(run, run.pick(run.fleet.of('store')));
      run.note(`refilled after ${await until('refill', 40000, () => filled(run))} ms`);
    },
  }],
  ['empty-store', {
    about: 'A store is added, another is emptied by an operator and retired', cuts: false, seconds: 30,
    during: async (run) => {
      await wait(1500);
      const old = run.pick(run.fleet.of('store'));
      const refused = await run.fleet.operator.any('POST', `/v1/stores/${old.addr}/empty`);
      run.note(`emptying with three stores: ${refused.status}`);
      const fresh = await run.fleet.add('store');
      run.fleet.start([fresh]);
      await until('emptying taken', 15000, async () => (await run.fleet.operator.any('POST', `/v1/stores/${old.addr}/empty`)).status === 200);
      const took = await until('emptied', 40000, async () => {
        const r = await run.fleet.operator.any('GET', '/v1/status');
        return JSON.stringify(r.body).includes('"retiring":true,"slotsHeld":0');
      });
      run.note(`emptied after ${took} ms`);
      await run.fleet.remove(old);
    },
  }],
  ['add-fronts', {
    about: 'Front machines are added, another is drained', cuts: false, seconds: 20,
    during: async (run) => {
      await wait(1500);
      const fresh = await run.fleet.add('front');
      run.fleet.start([fresh]);
      await wait(6000);
      const old = run.fleet.of('front')[0];
      if (!old) return;
      const r = await run.fleet.operator.any('POST', `/v1/fronts/${old.addr}/drain`);
      run.note(`drain: ${r.status}`);
      await wait(4000);
      await run.fleet.stop([old], 'SIGTERM');
      await run.fleet.remove(old);
    },
  }],
  ['all-down', {
    about: 'Everything is killed at once and started again', cuts: false, seconds: 20, aims: ['full stop'],
    during: async (run) => {
      await wait(3000);
      await run.put(3);
      await restartAll(run);
    },
  }],
]);
