/** Scenarios in which servers, machines and configurations are changed or replaced, some of them under faults. */
import { until } from './fleet.js';
import { ask } from './operator.js';
import {
  allStoresFilled,
  reportDraining,
  replaceMachine,
  replaceServers,
  restartAll,
  wait,
  type Scenario,
} from './scenario-actions.js';

/** The operation scenarios, keyed by name. */
export const operationScenarios: ReadonlyMap<string, Scenario> = new Map<string, Scenario>([
  [
    'replace-servers',
    {
      about: 'Servers are marked draining and replaced one by one',
      withRelay: false,
      seconds: 32,
      requiredRules: ['draining'],
      run: replaceServers,
    },
  ],
  [
    'own-draining',
    {
      about: 'A server reports by itself that it leaves',
      withRelay: false,
      seconds: 12,
      requiredRules: ['draining'],
      run: reportDraining,
    },
  ],
  [
    'lose-answers',
    {
      about: 'Servers finish work whose answer never comes back',
      withRelay: false,
      seconds: 12,
      requiredRules: ['skips, repeats'],
      run: async (run) => {
        for (const server of [...run.fleet.models, ...run.fleet.services])
          server.set({ loseEnd: 7 });
        for (const server of run.fleet.models) server.set({ cutAfter: 11 });
        await wait(9000);
        for (const server of [...run.fleet.models, ...run.fleet.services])
          server.set({ loseEnd: 0, cutAfter: 0 });
      },
    },
  ],
  [
    'racing-operators',
    {
      about:
        'Two operators submit configurations at the same moment, many times, growing by many routes',
      withRelay: false,
      seconds: 15,
      requiredRules: ['in force'],
      run: async (run) => {
        const controls = run.fleet.machinesOf('control');
        for (let round = 0; round < 8; round++) {
          await Promise.all([
            run.put(20, run.pick(controls).http),
            run.put(20, run.pick(controls).http),
          ]);
          await run.readConfigVersion();
          await wait(800);
        }
      },
    },
  ],
  [
    'crowd',
    {
      about: 'A crowd arrives at once',
      withRelay: false,
      seconds: 12,
      run: async (run) => {
        await wait(2000);
        for (let chat = 0; chat < 150; chat++) run.traffic.startChat(3);
        await wait(8000);
      },
    },
  ],
  [
    'replace-controls',
    {
      about: 'All three seed machines are exchanged one after another, then everything restarts',
      withRelay: false,
      seconds: 75,
      requiredRules: ['full stop'],
      run: async (run) => {
        for (const machine of run.fleet.machinesOf('control').slice(0, 3)) {
          run.fleet.useSeeds(
            run.fleet
              .machinesOf('control')
              .filter((other) => other !== machine)
              .slice(-3),
          );
          const replacement = await replaceMachine(run, machine);
          const waitedMs = await until('the new control to become a voter', 40000, async () => {
            const reply = await ask('GET', `http://${replacement.http}/v1/view`, '', 500);
            const view = JSON.stringify(reply.body);
            const id = /"id":"(c-[0-9a-f]+)"/.exec(view)?.[1] ?? 'none';
            return new RegExp(`"controls","[^"]*${id}`).test(view);
          });
          run.note(`the new control votes after ${waitedMs} ms`);
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
      withRelay: false,
      seconds: 30,
      run: async (run) => {
        await wait(1500);
        await replaceMachine(run, run.pick(run.fleet.machinesOf('store')));
        run.note(`refilled after ${await until('refill', 40000, () => allStoresFilled(run))} ms`);
      },
    },
  ],
  [
    'empty-store',
    {
      about: 'A store is added, another is emptied by an operator and retired',
      withRelay: false,
      seconds: 30,
      run: async (run) => {
        await wait(1500);
        const retired = run.pick(run.fleet.machinesOf('store'));
        const refused = await run.fleet.operator.request(
          'POST',
          `/v1/stores/${retired.addr}/empty`,
        );
        run.note(`emptying with three stores: status ${refused.status}`);
        const replacement = await run.fleet.add('store');
        run.fleet.start([replacement]);
        await until(
          'a control to accept the emptying of a store',
          15000,
          async () =>
            (await run.fleet.operator.request('POST', `/v1/stores/${retired.addr}/empty`))
              .status === 200,
        );
        const waitedMs = await until('emptied', 40000, async () => {
          const reply = await run.fleet.operator.request('GET', '/v1/status');
          return JSON.stringify(reply.body).includes('"retiring":true,"slotsHeld":0');
        });
        run.note(`emptied after ${waitedMs} ms`);
        await run.fleet.remove(retired);
      },
    },
  ],
  [
    'add-fronts',
    {
      about: 'Front machines are added, another is drained',
      withRelay: false,
      seconds: 20,
      run: async (run) => {
        await wait(1500);
        const replacement = await run.fleet.add('front');
        run.fleet.start([replacement]);
        await wait(6000);
        const retired = run.fleet.machinesOf('front').at(0);
        if (!retired) return;
        const reply = await run.fleet.operator.request('POST', `/v1/fronts/${retired.addr}/drain`);
        run.note(`drain: status ${reply.status}`);
        await wait(4000);
        await run.fleet.stop([retired], 'SIGTERM');
        await run.fleet.remove(retired);
      },
    },
  ],
  [
    'all-down',
    {
      about: 'Everything is killed at once and started again',
      withRelay: false,
      seconds: 20,
      requiredRules: ['full stop'],
      run: async (run) => {
        await wait(3000);
        await run.put(3);
        await restartAll(run);
      },
    },
  ],
]);
