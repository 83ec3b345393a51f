/** Sweeps on what a simulated deployment sends, at rest and at changes. */
import { encodeState } from '@tillerstair/state';
import type { Sweep, Values } from './capacity.js';
import { of, Rig, rigSizes, type Role, type Tally } from './capacity-rig.js';

const idleMs = 10000;

const stateBytes = (rig: Rig): number =>
  JSON.stringify([...encodeState(rig.w.committed ?? fail())]).length;
const fail = (): never => {
  throw new Error('nothing is committed');
};

const both = (t: Tally, kinds: readonly string[], what: 'messages' | 'bytes'): number =>
  kinds.reduce((n, k) => n + of(t[what], `kind ${k}`), 0);

const rounds = 'zen/ping';

/** What a role sent and received, but for ping rounds. */
const without = (t: Tally, what: 'messages' | 'bytes', role: Role): number =>
  of(t[what], role) - of(t[what], `${role} ${rounds}`);

const resting = async (
  rig: Rig,
  fronts: number,
): Promise<readonly (readonly [string, number])[]> => {
  const t = await rig.rest(idleMs);
  const each = idleMs / 1000;
  const a = (what: 'messages' | 'bytes', role: Role, nodes: number): number =>
    without(t, what, role) / each / nodes;
  return [
    ['master messages a second', a('messages', 'master', 1)],
    ['master bytes a second', a('bytes', 'master', 1)],
    ['agent messages a second', a('messages', 'agent', fronts)],
    ['agent bytes a second', a('bytes', 'agent', fronts)],
    ['store messages a second', a('messages', 'store', rig.w.of('store').length)],
    ['store bytes a second', a('bytes', 'store', rig.w.of('store').length)],
    ['other control bytes a second', a('bytes', 'control', rig.w.of('control').length - 1)],
    ['loopback bytes a second a front', a('bytes', 'loop', fronts)],
    ['messages of freshness rounds a second, all', of(t.messages, `kind ${rounds}`) / each],
    [
      'freshness rounds a second, all',
      of(t.messages, `kind ${rounds}`) / each / 2 / (rig.w.machines.length - 1),
    ],
  ];
};

const otherMaster = async (rig: Rig): Promise<readonly (readonly [string, number])[]> => {
  const { w } = rig;
  const old = w.master;
  const t0 = w.clock.now();
  let ms = 0;
  const t = await rig.tally(async () => {
    old?.kill();
    await w.clock.until('another master', () => w.master !== undefined && w.master !== old, 20000);
    const term = w.master?.control?.zen.term ?? 0;
    const followed = (): boolean =>
      w.of('front').every((m) => (m.front?.owner.current?.state.term ?? 0) >= term);
    await w.clock.until('its state on every front', followed, 20000);
    ms = w.clock.now() - t0;
  });
  return [
    [
      'change of master, messages',
      [...t.messages].reduce((n, [k, v]) => (k.startsWith('kind zen/') ? n + v : n), 0),
    ],
    [
      'change of master, bytes',
      [...t.bytes].reduce((n, [k, v]) => (k.startsWith('kind zen/') ? n + v : n), 0),
    ],
    ['change of master, messages of rounds', of(t.messages, `kind ${rounds}`)],
    [
      'change of master, messages of rounds a pair',
      of(t.messages, `kind ${rounds}`) / w.machines.length ** 2,
    ],
    ['change of master, ms', ms],
  ];
};

const published = ['zen/publish', 'zen/commit'] as const;

const changing = async (rig: Rig): Promise<readonly (readonly [string, number])[]> => {
  let ms = 0;
  const t = await rig.tally(async () => {
    ms = await rig.reconfigure();
    await rig.w.clock.run(1000);
  });
  const targets = rig.w.machines.length - 1;
  return [
    ['messages of one change', both(t, published, 'messages')],
    ['bytes of one change', both(t, published, 'bytes')],
    ['bytes of one change a node', both(t, published, 'bytes') / targets],
    ['one change in force, ms', ms],
  ];
};

const nodes = async (fronts: number): Promise<Values> => {
  const rig = await Rig.raise({ ...rigSizes, fronts }, 16);
  return new Map([
    ['state bytes', stateBytes(rig)],
    ...(await resting(rig, fronts)),
    ...(await changing(rig)),
    ...(await otherMaster(rig)),
  ]);
};

const servers = async (count: number): Promise<Values> => {
  const rig = await Rig.raise(rigSizes, count);
  const { fronts } = rigSizes;
  const polls = rig.w.servers.healthChecks;
  const rest = await resting(rig, fronts);
  const polled = rig.w.servers.healthChecks - polls;
  const marked = await rig.tally(() => rig.mark(0));
  const targets = rig.w.machines.length - 1;
  return new Map([
    ['state bytes', stateBytes(rig)],
    ['polls a second a front', polled / (idleMs / 1000) / fronts],
    ['bytes of one mark a node', both(marked, published, 'bytes') / targets],
    ...rest,
  ]);
};

const routes = async (count: number): Promise<Values> => {
  const rig = await Rig.raise(rigSizes, 16, count);
  return new Map([['state bytes', stateBytes(rig)], ...(await changing(rig))]);
};

const slots = async (count: number): Promise<Values> => {
  const rig = await Rig.raise({ ...rigSizes, slots: count }, 16);
  const state = stateBytes(rig);
  const front = rig.w.of('front').at(0);
  const versions = rig.w.committed?.version ?? 0;
  const t0 = rig.w.clock.now();
  let ms = 0;
  const t = await rig.tally(async () => {
    front?.kill();
    await rig.w.clock.until(
      'another owner',
      () => (rig.w.committed?.version ?? 0) > versions && rig.w.slotsOwned(),
      20000,
    );
    ms = rig.w.clock.now() - t0;
    await rig.w.clock.run(2000);
  });
  return new Map([
    ['state bytes', state],
    ['publish bytes at the loss of a front', both(t, published, 'bytes')],
    ['fences at the loss of a front', both(t, ['store/fence'], 'messages')],
    ['loss of a front, ms to the last new owner', ms],
  ]);
};

const changes = async (inTen: number): Promise<Values> => {
  const rig = await Rig.raise({ ...rigSizes, fronts: 16 }, 16);
  const took: number[] = [];
  const t = await rig.tally(async () => {
    for (let n = 0; n < inTen; n++) {
      const at = rig.w.clock.now();
      took.push(await rig.reconfigure());
      await rig.w.clock.run(Math.max(0, idleMs / inTen - (rig.w.clock.now() - at)));
    }
  });
  return new Map([
    ['messages that publish', both(t, published, 'messages')],
    ['master messages a second', without(t, 'messages', 'master') / 10],
    ['master bytes a second', without(t, 'bytes', 'master') / 10],
    ['agent bytes a second', without(t, 'bytes', 'agent') / 10 / 16],
    ['longest to be in force, ms', Math.max(...took)],
  ]);
};

const regionOf = (addr: string): number => Number(/-(\d+)/.exec(addr)?.[1] ?? 0) % 3;

const regions = async (oneWay: number): Promise<Values> => {
  const rig = await Rig.raise({ ...rigSizes, fronts: 9 }, 16);
  const { w } = rig;
  w.net.extraLatency = (a, b) => (regionOf(a) === regionOf(b) ? 0 : oneWay);
  await w.clock.run(5000);
  const inForce = await rig.reconfigure();
  const programs: number[] = [];
  const turns: number[] = [];
  for (let n = 0; n < 27; n++) {
    const t0 = w.clock.now();
    const p = await w.clock.finish('program', w.program(1000, w.of('front')[n % 9]), 20000);
    const t1 = w.clock.now();
    const t = await w.clock.finish(
      'turn',
      w.turn(p.program, null, 'words', `k${n}`, w.of('front')[n % 9]),
      20000,
    );
    if (p.reported !== 'done' || t.reported !== 'done')
      throw new Error(`reported ${p.reported}, ${t.reported}`);
    programs.push(t1 - t0);
    turns.push(w.clock.now() - t1);
  }
  const middle = (xs: readonly number[]): number =>
    [...xs].sort((a, b) => a - b)[xs.length >> 1] ?? 0;
  return new Map([
    ['one change in force, ms', inForce],
    ['a program made, median ms', middle(programs)],
    ['a turn of 4 to 15 chunks, median ms', middle(turns)],
    ['a turn of 4 to 15 chunks, most ms', Math.max(...turns)],
  ]);
};

export const worldSweeps: ReadonlyMap<string, Sweep> = new Map<string, Sweep>([
  [
    'nodes',
    {
      about: 'fronts beside 5 controls and 3 stores, 16 servers, 64 slots',
      by: 'front',
      how: 'simulated',
      sizes: [16, 32, 64, 128],
      small: [2, 4, 6, 8],
      grown: 410,
      run: nodes,
    },
  ],
  [
    'servers',
    {
      about: 'servers before 6 fronts',
      by: 'server',
      how: 'simulated',
      sizes: [16, 64, 256, 1024],
      small: [4, 8, 16, 32],
      grown: 3400,
      run: servers,
    },
  ],
  [
    'routes',
    {
      about: 'routes in the configuration; one is added',
      by: 'route',
      how: 'simulated',
      sizes: [10, 40, 160, 640],
      small: [2, 4, 8, 16],
      grown: 8400,
      run: routes,
    },
  ],
  [
    'slots',
    {
      about: 'slots; one front of six is lost',
      by: 'slot',
      how: 'simulated',
      sizes: [16, 64, 256, 512],
      small: [8, 16, 32, 64],
      grown: 8200,
      run: slots,
    },
  ],
  [
    'changes',
    {
      about: 'changes of configuration in ten seconds, 16 fronts',
      by: 'change in ten seconds',
      how: 'simulated',
      sizes: [5, 10, 20, 40],
      small: [1, 2, 4, 8],
      grown: 1,
      run: changes,
    },
  ],
  [
    'regions',
    {
      about: 'ms one way between three regions',
      by: 'ms one way',
      how: 'simulated',
      sizes: [0, 10, 20, 40],
      small: [0, 5, 10, 20],
      grown: 40,
      run: regions,
    },
  ],
]);
