import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { encodeState, type State } from '@tillerstair/state';
import {
  fitOf,
  fitsOf,
  jsonOf,
  stateOf,
  sweeps,
  measureSizes,
  type SweepResult,
} from '@tillerstair/fleet';

const capacity = suite('capacity');

const small = async (name: string): Promise<SweepResult> => {
  const s = sweeps.get(name);
  if (!s) throw new Error(`no sweep ${name}`);
  return measureSizes(name, s, s.small, () => undefined);
};

const series = (s: SweepResult, measure: string): readonly number[] =>
  s.points.map((p) => {
    const v = p.values.get(measure);
    if (v === undefined) throw new Error(`${s.sweep} has no ${measure}`);
    return v;
  });

const slope = (s: SweepResult, measure: string): number =>
  fitOf(
    measure,
    s.points.map((p, i) => [p.size, series(s, measure)[i] ?? 0]),
    s.grown,
  ).slope;
const near = (x: number, want: number, by: number, what: string): void =>
  assert.ok(Math.abs(x - want) <= by, `${what}: ${x}, not ${want} ± ${by}`);

capacity('a fit finds slope, base and spread', () => {
  const f = fitOf(
    'm',
    [
      [1, 3],
      [2, 5],
      [3, 7],
      [4, 9],
    ],
    100,
  );
  near(f.slope, 2, 1e-9, 'slope');
  near(f.base, 1, 1e-9, 'base');
  near(f.spread, 0, 1e-9, 'spread');
  near(f.grown, 201, 1e-9, 'worked out');
  const g = fitOf(
    'm',
    [
      [0, 1],
      [1, -1],
      [2, -1],
      [3, 1],
    ],
    0,
  );
  near(g.slope, 0, 1e-9, 'slope');
  near(g.spread, Math.SQRT2, 1e-9, 'spread');
  near(g.slopeSpread, Math.sqrt(2 / 5), 1e-9, 'spread of the slope');
});

/** What the test reads of a sweep's file; keys that it doesn't name are let through. */
const SweepFile = z.object({
  points: z.array(z.looseObject({})),
  fits: z.array(z.object({ grown: z.number() })),
  command: z.string(),
});

capacity('a sweep is kept as JSON with its points, fits and command', () => {
  const points = [1, 2, 3, 4].map((size) => ({ size, values: new Map([['m', size * 2]]) }));
  const text = jsonOf({
    sweep: 's',
    by: 'x',
    how: 'simulated',
    about: '',
    command: 'c',
    grown: 10,
    points,
    fits: fitsOf(points, 10),
  });
  const parsed = SweepFile.parse(JSON.parse(text));
  assert.equal(parsed.points[3], { size: 4, values: [['m', 8]] });
  assert.equal(parsed.fits[0].grown, 20);
  assert.equal(parsed.command, 'c');
});

capacity('every sweep has four sizes or more', () => {
  for (const [name, s] of sweeps)
    assert.ok(s.sizes.length >= 4 && new Set(s.sizes).size === s.sizes.length, name);
});

capacity('nodes: the master pings and publishes to each', async () => {
  const s = await small('nodes');
  near(
    slope(s, 'master messages a second'),
    4,
    0.1,
    'a ping and a ping response each way a second',
  );
  assert.equal(
    series(s, 'messages of one change'),
    s.points.map((p) => 4 * (p.size + 7)),
  );
  for (const n of series(s, 'agent messages a second')) near(n, 4, 0.2, "an agent's messages");
  assert.ok(slope(s, 'bytes of one change') > 0);
  near(
    slope(s, 'change of master, messages of rounds'),
    11,
    1,
    'rounds of a front go to controls alone',
  );
});

capacity('servers: every front reports and polls each', async () => {
  const s = await small('servers');
  near(slope(s, 'polls a second a front'), 4, 0.2, 'four polls a second a server');
  assert.ok(
    slope(s, 'agent bytes a second') > 100,
    'two reports a second, 50 bytes or more a server',
  );
  assert.ok(slope(s, 'state bytes') > 80);
});

capacity('routes: a change of one route carries the whole file', async () => {
  const s = await small('routes');
  assert.ok(slope(s, 'bytes of one change a node') > 0);
  assert.equal(
    series(s, 'messages of one change'),
    s.points.map(() => 52),
  );
});

capacity(
  "slots: a front's loss is one published table, and two or three fences a slot",
  async () => {
    const s = await small('slots');
    assert.ok(slope(s, 'state bytes') > 100);
    assert.ok(slope(s, 'fences at the loss of a front') > 0);
  },
);

capacity('changes: each costs the same messages', async () => {
  const s = await small('changes');
  assert.equal(
    series(s, 'messages that publish'),
    s.points.map((p) => 4 * 23 * p.size),
  );
});

capacity('regions: a change waits for two ways there and back', async () => {
  const s = await small('regions');
  near(slope(s, 'one change in force, ms'), 4, 0.5, 'ways between regions');
  assert.ok(slope(s, 'a program made, median ms') >= 2);
});

capacity('programs, turns and keys: items and puts', async () => {
  const programs = await small('programs');
  assert.equal(
    series(programs, 'items held by owners'),
    programs.points.map((p) => 2 * p.size),
  );
  assert.equal(
    series(programs, 'items in all stores'),
    programs.points.map((p) => 6 * p.size),
  );
  assert.equal(
    series(programs, 'store/put messages'),
    programs.points.map((p) => 18 * p.size),
  );
  const history = await small('history');
  assert.equal(
    series(history, 'items held by owners'),
    history.points.map((p) => 1 + p.size),
  );
  assert.equal(
    series(history, 'store/put messages'),
    history.points.map((p) => 6 + 12 * p.size),
  );
  const keys = await small('keys');
  assert.equal(
    series(keys, 'items held by owners'),
    keys.points.map((p) => p.size),
  );
  assert.equal(
    series(keys, 'store/put messages'),
    keys.points.map((p) => 12 * p.size),
  );
});

const keysOf = (s: State): number => encodeState(s).size;

capacity('state keys: one a node, a server, a weight and a slot', () => {
  const plain = { fronts: 4, servers: 8, slots: 8, routes: 4 };
  const keys = keysOf(stateOf(plain));
  assert.equal(keysOf(stateOf({ ...plain, fronts: 5 })) - keys, 1);
  assert.equal(keysOf(stateOf({ ...plain, servers: 9 })) - keys, 2);
  assert.equal(keysOf(stateOf({ ...plain, slots: 16 })) - keys, 8);
  assert.equal(keysOf(stateOf({ ...plain, routes: 40 })) - keys, 0);
});

capacity.run();
