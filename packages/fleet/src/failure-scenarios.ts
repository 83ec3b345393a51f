/** Scenarios in which machines and processes are killed, frozen, wiped and cut off. */
import { until } from './fleet.js';
import {
  cutOff,
  filled,
  inUse,
  killEach,
  markDraining,
  wait,
  type Scenario,
} from './scenario-actions.js';

/** These scenarios by name. */
export const failureScenarios: ReadonlyMap<string, Scenario> = new Map<string, Scenario>([
  [
    'calm',
    {
      about: 'No failure at all',
      cuts: false,
      seconds: 10,
      during: async (run) => {
        await wait(3000);
        await run.put(5);
      },
    },
  ],
  [
    'shares',
    {
      about: 'Work is split by the shares while weights are tuned and the master changes',
      cuts: false,
      seconds: 16,
      aims: ['shares'],
      still: true,
      during: async (run) => {
        await wait(1000);
        const { house } = run.spec;
        const shares = (pool: string): [string, number][] => [
          [pool, 1],
          [`${pool}-b`, 1],
        ];
        const from = Date.now();
        await wait(5000);
        const master = await run.fleet.master();
        if (!master) throw new Error('no master to kill');
        await run.fleet.stop([master]);
        await wait(6000);
        run.fleet.start([master]);
        const to = Date.now();
        const rounding = 4 * run.fleet.of('front').length;
        run.shares.push(
          { kind: 'generate', from, to, shares: shares(house.modelPool), rounding },
          { kind: 'act', from, to, shares: shares(house.servicePool), rounding },
        );
      },
    },
  ],
  [
    'kill-control',
    {
      about: 'The master and another control are killed and come back',
      cuts: false,
      seconds: 18,
      during: killEach('control', 'kill'),
    },
  ],
  [
    'freeze-control',
    {
      about: 'The master and another control are frozen and woken',
      cuts: false,
      seconds: 22,
      during: killEach('control', 'freeze'),
    },
  ],
  [
    'wipe-control',
    {
      about: 'Controls lose their disks',
      cuts: false,
      seconds: 22,
      during: killEach('control', 'wipe'),
    },
  ],
  [
    'kill-store',
    {
      about: 'A store is killed and comes back',
      cuts: false,
      seconds: 12,
      during: killEach('store', 'kill'),
    },
  ],
  [
    'freeze-store',
    {
      about: 'A store is frozen and woken',
      cuts: false,
      seconds: 14,
      during: killEach('store', 'freeze'),
    },
  ],
  [
    'wipe-store',
    {
      about: 'A store loses its disk and is refilled',
      cuts: false,
      seconds: 25,
      during: async (run) => {
        await killEach('store', 'wipe')(run);
        run.note(`refilled after ${await until('refill', 40000, () => filled(run))} ms`);
      },
    },
  ],
  [
    'kill-front',
    {
      about: 'A front machine is killed and comes back',
      cuts: false,
      seconds: 12,
      during: killEach('front', 'kill'),
    },
  ],
  [
    'freeze-front',
    {
      about: 'A front machine is frozen and woken',
      cuts: false,
      seconds: 14,
      during: killEach('front', 'freeze'),
    },
  ],
  [
    'kill-proxy',
    {
      about: 'A proxy and later an agent are killed apart from each other',
      cuts: false,
      seconds: 16,
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
    },
  ],
  [
    'freeze-proxy',
    {
      about: 'A proxy is frozen and woken while its agent goes on',
      cuts: false,
      seconds: 14,
      during: async (run) => {
        await wait(1500);
        const p = run.pick(run.fleet.of('front')).procs.at(0);
        p?.freeze();
        await wait(5000);
        p?.wake();
        await wait(3000);
      },
    },
  ],
  [
    'split-controls',
    {
      about: 'The control group is cut two to three',
      cuts: true,
      seconds: 18,
      during: async (run) => {
        await wait(1500);
        const master = await run.fleet.master();
        const side = [...new Set([...(master ? [master] : []), ...run.fleet.of('control')])].slice(
          0,
          2,
        );
        const cut = cutOff(run, side, 7000);
        await wait(500);
        const inside = side.at(0);
        if (inside) await run.put(1, inside.http);
        await wait(4500);
        await run.resync();
        await run.put(1);
        await cut;
      },
    },
  ],
  [
    'cut-controls',
    {
      about: 'The whole control group is cut off from everything else',
      cuts: true,
      seconds: 18,
      during: async (run) => {
        await wait(1500);
        await cutOff(run, run.fleet.of('control'), 6000);
      },
    },
  ],
  [
    'cut-store',
    {
      about: 'A single store is isolated',
      cuts: true,
      seconds: 15,
      during: async (run) => {
        await wait(1500);
        await cutOff(run, [run.pick(run.fleet.of('store'))], 6000);
      },
    },
  ],
  [
    'cut-front',
    {
      about: 'A single front is isolated, servers are marked draining meanwhile',
      cuts: true,
      seconds: 16,
      aims: ['draining', 'in force'],
      during: async (run) => {
        await wait(1500);
        const s = run.pick(inUse(run));
        const cut = cutOff(run, [run.pick(run.fleet.of('front'))], 7000);
        await wait(300);
        const at = await markDraining(run, s.options.id);
        await cut;
        run.drainings.push({ server: s.options.id, at, until: Date.now() });
      },
    },
  ],
]);
