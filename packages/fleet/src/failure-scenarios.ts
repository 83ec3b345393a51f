/** Scenarios in which machines and processes are killed, frozen, wiped or cut off the network. */
import { until } from './fleet.js';
import {
  isolate,
  allStoresFilled,
  usedModelServers,
  disturbEach,
  markDraining,
  wait,
  type Scenario,
} from './scenario-actions.js';

/** The failure scenarios, keyed by name. */
export const failureScenarios: ReadonlyMap<string, Scenario> = new Map<string, Scenario>([
  [
    'calm',
    {
      about: 'No failure at all',
      withRelay: false,
      seconds: 10,
      run: async (run) => {
        await wait(3000);
        await run.put(5);
      },
    },
  ],
  [
    'shares',
    {
      about: 'Work is split by the shares while weights are tuned and the master changes',
      withRelay: false,
      seconds: 16,
      requiredRules: ['shares'],
      keepsConfig: true,
      run: async (run) => {
        await wait(1000);
        const { house } = run.spec;
        const shares = (pool: string): [string, number][] => [
          [pool, 1],
          [`${pool}-b`, 1],
        ];
        const from = Date.now();
        await wait(5000);
        const master = await run.fleet.master();
        if (!master) throw new Error('scenario shares: no running control is reported as master');
        await run.fleet.stop([master]);
        await wait(6000);
        run.fleet.start([master]);
        const to = Date.now();
        const rounding = 4 * run.fleet.machinesOf('front').length;
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
      withRelay: false,
      seconds: 18,
      run: disturbEach('control', 'kill'),
    },
  ],
  [
    'freeze-control',
    {
      about: 'The master and another control are frozen and woken',
      withRelay: false,
      seconds: 22,
      run: disturbEach('control', 'freeze'),
    },
  ],
  [
    'wipe-control',
    {
      about: 'Controls lose their disks',
      withRelay: false,
      seconds: 22,
      run: disturbEach('control', 'wipe'),
    },
  ],
  [
    'kill-store',
    {
      about: 'A store is killed and comes back',
      withRelay: false,
      seconds: 12,
      run: disturbEach('store', 'kill'),
    },
  ],
  [
    'freeze-store',
    {
      about: 'A store is frozen and woken',
      withRelay: false,
      seconds: 14,
      run: disturbEach('store', 'freeze'),
    },
  ],
  [
    'wipe-store',
    {
      about: 'A store loses its disk and is refilled',
      withRelay: false,
      seconds: 25,
      run: async (run) => {
        await disturbEach('store', 'wipe')(run);
        run.note(`refilled after ${await until('refill', 40000, () => allStoresFilled(run))} ms`);
      },
    },
  ],
  [
    'kill-front',
    {
      about: 'A front machine is killed and comes back',
      withRelay: false,
      seconds: 12,
      run: disturbEach('front', 'kill'),
    },
  ],
  [
    'freeze-front',
    {
      about: 'A front machine is frozen and woken',
      withRelay: false,
      seconds: 14,
      run: disturbEach('front', 'freeze'),
    },
  ],
  [
    'kill-proxy',
    {
      about: 'A proxy and later an agent are killed apart from each other',
      withRelay: false,
      seconds: 16,
      run: async (run) => {
        await wait(1500);
        const machine = run.pick(run.fleet.machinesOf('front'));
        for (const process of machine.processes) {
          run.note(`kill ${process.name}`);
          await process.end();
          await wait(2500);
          process.start();
          await wait(3000);
        }
      },
    },
  ],
  [
    'freeze-proxy',
    {
      about: 'A proxy is frozen and woken while its agent goes on',
      withRelay: false,
      seconds: 14,
      run: async (run) => {
        await wait(1500);
        const process = run.pick(run.fleet.machinesOf('front')).processes.at(0);
        process?.freeze();
        await wait(5000);
        process?.resume();
        await wait(3000);
      },
    },
  ],
  [
    'split-controls',
    {
      about: 'The control group is cut two to three',
      withRelay: true,
      seconds: 18,
      run: async (run) => {
        await wait(1500);
        const master = await run.fleet.master();
        const minority = [
          ...new Set([...(master ? [master] : []), ...run.fleet.machinesOf('control')]),
        ].slice(0, 2);
        const cut = isolate(run, minority, 7000);
        await wait(500);
        const minorityControl = minority.at(0);
        if (minorityControl) await run.put(1, minorityControl.http);
        await wait(4500);
        await run.readConfigVersion();
        await run.put(1);
        await cut;
      },
    },
  ],
  [
    'cut-controls',
    {
      about: 'The whole control group is cut off from everything else',
      withRelay: true,
      seconds: 18,
      run: async (run) => {
        await wait(1500);
        await isolate(run, run.fleet.machinesOf('control'), 6000);
      },
    },
  ],
  [
    'cut-store',
    {
      about: 'A single store is isolated',
      withRelay: true,
      seconds: 15,
      run: async (run) => {
        await wait(1500);
        await isolate(run, [run.pick(run.fleet.machinesOf('store'))], 6000);
      },
    },
  ],
  [
    'cut-front',
    {
      about: 'A single front is isolated, servers are marked draining meanwhile',
      withRelay: true,
      seconds: 16,
      requiredRules: ['draining', 'in force'],
      run: async (run) => {
        await wait(1500);
        const server = run.pick(usedModelServers(run));
        const cut = isolate(run, [run.pick(run.fleet.machinesOf('front'))], 7000);
        await wait(300);
        const markedAt = await markDraining(run, server.options.id);
        await cut;
        run.drainings.push({ server: server.options.id, at: markedAt, until: Date.now() });
      },
    },
  ],
]);
