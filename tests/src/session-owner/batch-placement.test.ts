import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Incarnation, seededRng, SimClock, SimServers } from '@tillerstair/sim';
import {
  checkConfig,
  configDigest,
  bootstrapState,
  reduceState,
  type Server,
  type State,
} from '@tillerstair/state';
import {
  placementPolicies,
  prefixBlocksOfParts,
  Placement,
  compileState,
  type PrefixBlock,
} from '@tillerstair/session-owner';

const batches = suite('placement among servers that run batches');

const places = 4;
const text = JSON.stringify({
  base: 0,
  pools: [
    { name: 'big', kind: 'model', engine: { places, memoryTokens: 100000, blockTokens: 1 } },
    { name: 'plain', kind: 'service' },
  ],
  routes: [
    {
      name: 'talk',
      match: { kind: 'pass', path: '/talk/' },
      pass: { manner: 'stream', deadlineMs: 1000 },
      shares: [{ pool: 'big', share: 1 }],
    },
    {
      name: 'do',
      match: { kind: 'pass', path: '/do/' },
      pass: { manner: 'once', deadlineMs: 1000 },
      shares: [{ pool: 'plain', share: 1 }],
    },
  ],
});
const routes = checkConfig(text).config?.routes ?? [];
const talk = routes.at(0);
const plain = routes.at(1);
if (!talk || !plain) throw new Error('no routes');
const perPlace = 100000 / places / 25;

const server = (id: string, pool: string, ownPlaces = 0): Server => ({
  id,
  pool,
  url: `http://127.0.0.1:1/${id}`,
  draining: false,
  down: false,
  zone: '',
  places: ownPlaces,
});

const placing = (servers: readonly Server[], zone = '') => {
  const clock = new SimClock();
  const me = { id: 'f', kind: 'front' as const, addr: '', http: '', zone, data: '', name: '' };
  const state: State = servers.reduce<State>(
    (s, v) => reduceState(s, { kind: 'server', server: v }),
    {
      ...bootstrapState('x', [], 8),
      nodes: new Map([['f', me]]),
      config: {
        version: 1,
        text,
        digest: configDigest(text),
        compiled: JSON.stringify(checkConfig(text).config),
        changeId: '',
      },
    },
  );
  const table = compileState(state, undefined);
  const sims = new SimServers(clock, seededRng(1));
  const bounds = {
    pollIntervalMs: 0,
    pollTimeoutMs: 250,
    retryUnhealthyAfterMs: 1000,
    pollValidForMs: Infinity,
    reportedLoadValidForMs: 500,
  };
  const placement = new Placement({
    clock,
    backend: sims.backend(new Incarnation()),
    policies: placementPolicies(true),
    bounds,
    compiledState: () => table,
    maxInFlightPerServer: () => 16,
    frontId: 'f',
  });
  return { clock, placement, at: (id: string) => state.servers.get(id) ?? server(id, 'none') };
};
const big = (...ids: readonly string[]) => placing(ids.map((id) => server(id, 'big')));
const prompt = (tokens: number, name = 'a'): readonly PrefixBlock[] =>
  prefixBlocksOfParts([[name, tokens]]);

batches(
  'a warm server is kept to until what runs there outweighs the tokens to be read anew',
  () => {
    for (const [tokens, stays] of [
      [0.5, 1],
      [1.5, 2],
      [2.5, 3],
      [50, places],
    ] as const) {
      const { placement, at } = big('w', 'c');
      const parts = prompt(tokens * perPlace);
      placement.begin(at('w'), parts);
      const got: string[] = [];
      while (got.length < places && placement.pick(talk, parts, '', new Set())?.id === 'w') {
        got.push('w');
        placement.begin(at('w'), parts);
      }
      assert.is(got.length + 1, stays, `${tokens}`);
      assert.is(placement.pick(talk, parts, '', new Set())?.id, 'c');
    }
  },
);

batches('only what is held from the first part on counts as warm', () => {
  const { placement, at } = big('w', 'c');
  placement.begin(
    at('w'),
    prefixBlocksOfParts([
      ['a', 5 * perPlace],
      ['b', 5 * perPlace],
    ]),
  );
  placement.begin(at('c'), []);
  placement.begin(at('c'), []);
  assert.is(
    placement.pick(
      talk,
      prefixBlocksOfParts([
        ['a', 5 * perPlace],
        ['x', perPlace],
      ]),
      '',
      new Set(),
    )?.id,
    'w',
  );
  placement.end(at('c'), true);
  placement.end(at('c'), true);
  assert.is(
    placement.pick(
      talk,
      prefixBlocksOfParts([
        ['x', perPlace],
        ['b', 5 * perPlace],
      ]),
      '',
      new Set(),
    )?.id,
    'c',
  );
});

batches(
  'a server in the own zone comes first, unless one far off holds more than a place is worth',
  () => {
    const zoned: readonly Server[] = [
      { ...server('n', 'big'), zone: 'Here' },
      { ...server('f', 'big'), zone: 'there' },
    ];
    const { placement, at } = placing(zoned, 'here');
    assert.is(placement.pick(talk, prompt(perPlace, 'x'), '', new Set())?.id, 'n');
    for (const [tokens, id] of [
      [0.5, 'n'],
      [1.5, 'f'],
    ] as const) {
      const parts = prompt(tokens * perPlace, `t${tokens}`);
      placement.begin(at('f'), parts);
      placement.end(at('f'), true);
      assert.is(placement.pick(talk, parts, '', new Set())?.id, id);
    }
  },
);

batches('no more than its places are given to a server, whatever it holds', () => {
  const { placement, at } = big('w');
  const parts = prompt(50 * perPlace);
  for (let i = 0; i < places; i++) {
    assert.is(placement.pick(talk, parts, '', new Set())?.id, 'w');
    placement.begin(at('w'), parts);
  }
  assert.is(placement.pick(talk, parts, '', new Set()), undefined);
  placement.end(at('w'), true);
  assert.is(placement.pick(talk, parts, '', new Set())?.id, 'w');
});

batches('places that the list tells of a server bound it where its pool has no engine', () => {
  const { placement, at } = placing([server('p', 'plain', 2), server('q', 'plain', 1)]);
  const got: string[] = [];
  for (let i = 0; i < 3; i++) {
    const s = placement.pick(plain, [], '', new Set());
    got.push(s?.id ?? 'none');
    if (s) placement.begin(at(s.id), []);
  }
  assert.equal(got.sort(), ['p', 'p', 'q']);
  assert.is(placement.pick(plain, [], '', new Set()), undefined);
});

batches("a server's own word of its load counts for a while, then no more", async () => {
  const { clock, placement, at } = big('a', 'b');
  const parts = prompt(perPlace / 10);
  const first = placement.pick(talk, parts, '', new Set())?.id ?? '';
  const second = first === 'a' ? 'b' : 'a';
  placement.recordReportedLoad(at(first), { running: 2, waiting: 1, places });
  assert.is(placement.pick(talk, parts, '', new Set())?.id, second);
  await clock.run(499);
  assert.is(placement.pick(talk, parts, '', new Set())?.id, second);
  await clock.run(2);
  assert.is(placement.pick(talk, parts, '', new Set())?.id, first);
});

batches('a prompt of unknown size goes where least runs', () => {
  const { placement, at } = big('a', 'b');
  placement.begin(at('a'), []);
  assert.is(placement.pick(talk, [], '', new Set())?.id, 'b');
  placement.begin(at('b'), []);
  placement.begin(at('b'), []);
  assert.is(placement.pick(talk, [], '', new Set())?.id, 'a');
});

batches.run();
