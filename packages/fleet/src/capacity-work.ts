/** Sweeps on what programs, turns and calls cost in messages, bytes and items. */
import type { Sweep, Values } from './capacity.js';
import type { ReplyRecord } from '@tillerstair/checker';
import { countOf, SimulatedDeployment, defaultSizes } from './capacity-deployment.js';

const itemsOf = (rig: SimulatedDeployment): number =>
  rig.simulation.of('store').reduce((n, m) => n + (m.replicaStore?.counts().items ?? 0), 0);
const diskOf = (rig: SimulatedDeployment): number =>
  rig.simulation.of('store').reduce((n, m) => n + (m.replicaStore?.counts().bytes ?? 0), 0);
const heldBy = (rig: SimulatedDeployment): number =>
  rig.simulation.of('front').reduce((n, m) => n + (m.front?.owner.sizes().items ?? 0), 0);

const counted = async (rig: SimulatedDeployment, work: () => Promise<void>): Promise<Values> => {
  const items = itemsOf(rig);
  const disk = diskOf(rig);
  const held = heldBy(rig);
  const t = await rig.tally(async () => {
    await work();
    await rig.simulation.clock.run(500);
  });
  return new Map([
    ['store/put messages', countOf(t.messages, 'kind store/put')],
    ['store/put bytes', countOf(t.bytes, 'kind store/put')],
    [
      'bytes between fronts',
      ['program', 'turn', 'turn chunk', 'history', 'call'].reduce(
        (n, k) => n + countOf(t.bytes, `kind front/${k}`),
        0,
      ),
    ],
    ['items in all stores', itemsOf(rig) - items],
    ['journal bytes in all stores', diskOf(rig) - disk],
    ['items held by owners', heldBy(rig) - held],
  ]);
};

const raise = (): Promise<SimulatedDeployment> =>
  SimulatedDeployment.start({ ...defaultSizes, fronts: 4, slots: 16 }, 16);
const check = (reported: string): void => {
  if (reported !== 'done') throw new Error(`reported ${reported}`);
};

const programs = async (count: number): Promise<Values> => {
  const rig = await raise();
  return counted(rig, async () => {
    for (let n = 0; n < count; n++) {
      const p = await rig.simulation.clock.finish('program', rig.simulation.program(1000), 20000);
      check(p.reported);
      check(
        (
          await rig.simulation.clock.finish(
            'turn',
            rig.simulation.turn(p.program, null, `words ${n}`, `k${n}`),
            20000,
          )
        ).reported,
      );
    }
  });
};

const history = async (turns: number): Promise<Values> => {
  const rig = await raise();
  return counted(rig, async () => {
    const p = await rig.simulation.clock.finish('program', rig.simulation.program(100000), 20000);
    check(p.reported);
    let after: string | null = null;
    for (let n = 0; n < turns; n++) {
      const prior: string | null = after;
      const t: ReplyRecord = await rig.simulation.clock.finish(
        'turn',
        rig.simulation.turn(p.program, prior, `words ${n}`, `k${n}`),
        20000,
      );
      check(t.reported);
      after = t.turn;
    }
  });
};

const keys = async (count: number): Promise<Values> => {
  const rig = await raise();
  return counted(rig, async () => {
    for (let n = 0; n < count; n++)
      check(
        (
          await rig.simulation.clock.finish(
            'call',
            rig.simulation.call(`key-${n}`, '/hold', { n }),
            20000,
          )
        ).reported,
      );
  });
};

export const workSweeps: ReadonlyMap<string, Sweep> = new Map<string, Sweep>([
  [
    'programs',
    {
      about: 'programs of one turn each, 4 fronts, 3 stores',
      by: 'program',
      how: 'simulated',
      sizes: [16, 32, 64, 128],
      small: [2, 4, 6, 8],
      grown: 420000,
      run: programs,
    },
  ],
  [
    'history',
    {
      about: 'turns of 60 characters and 4 to 15 chunks in one program',
      by: 'turn',
      how: 'simulated',
      sizes: [10, 20, 40, 81],
      small: [2, 4, 6, 8],
      grown: 81,
      run: history,
    },
  ],
  [
    'keys',
    {
      about: 'calls with an operation key each',
      by: 'key',
      how: 'simulated',
      sizes: [16, 32, 64, 128],
      small: [2, 4, 6, 8],
      grown: 4300,
      run: keys,
    },
  ],
]);
