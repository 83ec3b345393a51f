/** Scenarios in which servers, machines and configurations are changed, under faults. */
import { until } from './fleet.js';
import { ask } from './operator.js';
import {
  filled,
  ownDraining,
  replace,
  replaceServers,
  restartAll,
  wait,
  type Scenario,
} from './scenario-actions.js';

/** These scenarios by name. */
export const operationScenarios: ReadonlyMap<string, Scenario> = new Map<string, Scenario>([
  [
    'replace-servers',
    {
      about: 'Servers are marked draining and replaced one by one',
      cuts: false,
      seconds: 32,
      aims: ['draining'],
      during: replaceServers,
    },
  ],
  [
    'own-draining',
    {
      about: 'A server reports by itself that it leaves',
      cuts: false,
      seconds: 12,
      aims: ['draining'],
      during: ownDraining,
    },
  ],
  [
    'lose-answers',
    {
      about: 'Servers finish work whose answer never comes back',
      cuts: false,
      seconds: 12,
      aims: ['skips, repeats'],
      during: async (run) => {
        for (const s of [...run.fleet.models, ...run.fleet.services]) s.set({ loseEnd: 7 });
        for (const s of run.fleet.models) s.set({ cutAfter: 11 });
        await wait(9000);
        for (const s of [...run.fleet.models, ...run.fleet.services])
          s.set({ loseEnd: 0, cutAfter: 0 });
      },
    },
  ],
  [
    'racing-operators',
    {
      about:
        'Two operators submit configurations at the same moment, many times, growing by many routes',
      cuts: false,
      seconds: 15,
      aims: ['in force'],
      during: async (run) => {
        const controls = run.fleet.of('control');
        for (let i = 0; i < 8; i++) {
          await Promise.all([
            run.put(20, run.pick(controls).http),
            run.put(20, run.pick(controls).http),
          ]);
          await run.resync();
          await wait(800);
        }
      },
    },
  ],
  [
    'crowd',
    {
      about: 'A crowd arrives at once',
      cuts: false,
      seconds: 12,
      during: async (run) => {
        await wait(2000);
        for (let i = 0; i < 150; i++) run.traffic.begin(3);
        await wait(8000);
      },
    },
  ],
  [
    'replace-controls',
    {
      about: 'All three seed machines are exchanged one after another, then everything restarts',
      cuts: false,
      seconds: 75,
      aims: ['full stop'],
      during: async (run) => {
        for (const m of run.fleet.of('control').slice(0, 3)) {
          run.fleet.useSeeds(
            run.fleet
              .of('control')
              .filter((x) => x !== m)
              .slice(-3),
          );
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
    },
  ],
  [
    'replace-store',
    {
      about: 'A store machine is swapped for an empty one at a new address',
      cuts: false,
      seconds: 30,
      during: async (run) => {
        await wait(1500);
        await replace(run, run.pick(run.fleet.of('store')));
        run.note(`refilled after ${await until('refill', 40000, () => filled(run))} ms`);
      },
    },
  ],
  [
    'empty-store',
    {
      about: 'A store is added, another is emptied by an operator and retired',
      cuts: false,
      seconds: 30,
      during: async (run) => {
        await wait(1500);
        const old = run.pick(run.fleet.of('store'));
        const refused = await run.fleet.operator.any('POST', `/v1/stores/${old.addr}/empty`);
        run.note(`emptying with three stores: ${refused.status}`);
        const fresh = await run.fleet.add('store');
        run.fleet.start([fresh]);
        await until(
          'emptying accepted',
          15000,
          async () =>
            (await run.fleet.operator.any('POST', `/v1/stores/${old.addr}/empty`)).status === 200,
        );
        const took = await until('emptied', 40000, async () => {
          const r = await run.fleet.operator.any('GET', '/v1/status');
          return JSON.stringify(r.body).includes('"retiring":true,"slotsHeld":0');
        });
        run.note(`emptied after ${took} ms`);
        await run.fleet.remove(old);
      },
    },
  ],
  [
    'add-fronts',
    {
      about: 'Front machines are added, another is drained',
      cuts: false,
      seconds: 20,
      during: async (run) => {
        await wait(1500);
        const fresh = await run.fleet.add('front');
        run.fleet.start([fresh]);
        await wait(6000);
        const old = run.fleet.of('front').at(0);
        if (!old) return;
        const r = await run.fleet.operator.any('POST', `/v1/fronts/${old.addr}/drain`);
        run.note(`drain: ${r.status}`);
        await wait(4000);
        await run.fleet.stop([old], 'SIGTERM');
        await run.fleet.remove(old);
      },
    },
  ],
  [
    'all-down',
    {
      about: 'Everything is killed at once and started again',
      cuts: false,
      seconds: 20,
      aims: ['full stop'],
      during: async (run) => {
        await wait(3000);
        await run.put(3);
        await restartAll(run);
      },
    },
  ],
]);
