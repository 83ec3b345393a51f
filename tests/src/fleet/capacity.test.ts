/** Capacity sweeps at small sizes: fits, result files, and measures whose values follow from the protocols. */
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

const runSmallSizes = async (name: string): Promise<SweepResult> => {
  const sweep = sweeps.get(name);
  if (!sweep) throw new Error(`unknown sweep ${name}`);
  return measureSizes(name, sweep, sweep.small, () => undefined);
};

const series = (result: SweepResult, measure: string): readonly number[] =>
  result.points.map((point) => {
    const value = point.values.get(measure);
    if (value === undefined) throw new Error(`sweep ${result.sweep} has no measure ${measure}`);
    return value;
  });

const slope = (result: SweepResult, measure: string): number =>
  fitOf(
    measure,
    result.points.map((point, i) => [point.size, series(result, measure)[i] ?? 0]),
    result.grown,
  ).slope;
const assertNear = (actual: number, expected: number, tolerance: number, label: string): void =>
  assert.ok(
    Math.abs(actual - expected) <= tolerance,
    `${label}: ${actual}, not ${expected} ± ${tolerance}`,
  );

capacity('a fit computes slope, base and spread', () => {
  const line = fitOf(
    'm',
    [
      [1, 3],
      [2, 5],
      [3, 7],
      [4, 9],
    ],
    100,
  );
  assertNear(line.slope, 2, 1e-9, 'slope');
  assertNear(line.base, 1, 1e-9, 'base');
  assertNear(line.spread, 0, 1e-9, 'spread');
  assertNear(line.grown, 201, 1e-9, 'extrapolated value');
  const spreadFit = fitOf(
    'm',
    [
      [0, 1],
      [1, -1],
      [2, -1],
      [3, 1],
    ],
    0,
  );
  assertNear(spreadFit.slope, 0, 1e-9, 'slope');
  assertNear(spreadFit.spread, Math.SQRT2, 1e-9, 'spread');
  assertNear(spreadFit.slopeSpread, Math.sqrt(2 / 5), 1e-9, 'spread of the slope');
});

/** The part of a sweep's file that the test reads; other keys are ignored. */
const SweepFile = z.object({
  points: z.array(z.looseObject({})),
  fits: z.array(z.object({ grown: z.number() })),
  command: z.string(),
});

capacity('the JSON file of a sweep has its points, fits and command', () => {
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

capacity('every sweep has at least four distinct sizes', () => {
  for (const [name, sweep] of sweeps)
    assert.ok(sweep.sizes.length >= 4 && new Set(sweep.sizes).size === sweep.sizes.length, name);
});

capacity('nodes: the master pings and publishes to each node', async () => {
  const result = await runSmallSizes('nodes');
  assertNear(
    slope(result, 'master messages a second'),
    4,
    0.1,
    'a ping and a ping response in each direction a second',
  );
  assert.equal(
    series(result, 'messages of one change'),
    result.points.map((point) => 4 * (point.size + 7)),
  );
  for (const messages of series(result, 'agent messages a second'))
    assertNear(messages, 4, 0.2, "an agent's messages");
  assert.ok(slope(result, 'bytes of one change') > 0);
  assertNear(
    slope(result, 'change of master, messages of rounds'),
    11,
    1,
    'pings of a front go to controls only',
  );
});

capacity('servers: every front polls and reports each server', async () => {
  const result = await runSmallSizes('servers');
  assertNear(slope(result, 'polls a second a front'), 4, 0.2, 'four polls a second a server');
  assert.ok(
    slope(result, 'agent bytes a second') > 100,
    'two reports a second, 50 bytes or more a server',
  );
  assert.ok(slope(result, 'state bytes') > 80);
});

capacity('routes: a change of one route publishes the whole file', async () => {
  const result = await runSmallSizes('routes');
  assert.ok(slope(result, 'bytes of one change a node') > 0);
  assert.equal(
    series(result, 'messages of one change'),
    result.points.map(() => 52),
  );
});

capacity(
  "slots: a front's loss is one published table, and two or three fences a slot",
  async () => {
    const result = await runSmallSizes('slots');
    assert.ok(slope(result, 'state bytes') > 100);
    assert.ok(slope(result, 'fences at the loss of a front') > 0);
  },
);

capacity('changes: each change costs the same number of messages', async () => {
  const result = await runSmallSizes('changes');
  assert.equal(
    series(result, 'messages that publish'),
    result.points.map((point) => 4 * 23 * point.size),
  );
});

capacity('regions: a change takes two round trips between regions', async () => {
  const result = await runSmallSizes('regions');
  assertNear(slope(result, 'one change in force, ms'), 4, 0.5, 'one-way delays between regions');
  assert.ok(slope(result, 'a program made, median ms') >= 2);
});

capacity('programs, turns and keys: items held by owners, and puts to stores', async () => {
  const programs = await runSmallSizes('programs');
  assert.equal(
    series(programs, 'items held by owners'),
    programs.points.map((point) => 2 * point.size),
  );
  assert.equal(
    series(programs, 'items in all stores'),
    programs.points.map((point) => 6 * point.size),
  );
  assert.equal(
    series(programs, 'store/put messages'),
    programs.points.map((point) => 18 * point.size),
  );
  const history = await runSmallSizes('history');
  assert.equal(
    series(history, 'items held by owners'),
    history.points.map((point) => 1 + point.size),
  );
  assert.equal(
    series(history, 'store/put messages'),
    history.points.map((point) => 6 + 12 * point.size),
  );
  const keys = await runSmallSizes('keys');
  assert.equal(
    series(keys, 'items held by owners'),
    keys.points.map((point) => point.size),
  );
  assert.equal(
    series(keys, 'store/put messages'),
    keys.points.map((point) => 12 * point.size),
  );
});

const keyCountOf = (state: State): number => encodeState(state).size;

capacity('cluster state: one key for each node, server, weight and slot', () => {
  const sizes = { fronts: 4, servers: 8, slots: 8, routes: 4 };
  const keyCount = keyCountOf(stateOf(sizes));
  assert.equal(keyCountOf(stateOf({ ...sizes, fronts: 5 })) - keyCount, 1);
  assert.equal(keyCountOf(stateOf({ ...sizes, servers: 9 })) - keyCount, 2);
  assert.equal(keyCountOf(stateOf({ ...sizes, slots: 16 })) - keyCount, 8);
  assert.equal(keyCountOf(stateOf({ ...sizes, routes: 40 })) - keyCount, 0);
});

capacity.run();
