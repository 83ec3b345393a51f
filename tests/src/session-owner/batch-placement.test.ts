/**
 * Placement on servers whose engine runs requests in batches and caches prompt prefixes. Server `w` is warm: it has
 * cached the prompt; `c` is cold. Server `n` is in the zone of the front, `f` in another one.
 */
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
const talkRoute = routes.at(0);
const plainRoute = routes.at(1);
if (!talkRoute || !plainRoute) throw new Error('the test configuration lacks a route');
/** Tokens that one running request costs at a server: the batch memory per place, divided by 25. */
const tokensPerRequest = 100000 / places / 25;

const makeServer = (id: string, pool: string, serverPlaces = 0): Server => ({
  id,
  pool,
  url: `http://127.0.0.1:1/${id}`,
  draining: false,
  down: false,
  zone: '',
  places: serverPlaces,
});

/** A placement at front `f`, without polls, over the given servers. */
const createPlacement = (servers: readonly Server[], zone = '') => {
  const clock = new SimClock();
  const front = { id: 'f', kind: 'front' as const, addr: '', http: '', zone, data: '', name: '' };
  const state: State = servers.reduce<State>(
    (reduced, server) => reduceState(reduced, { kind: 'server', server }),
    {
      ...bootstrapState('x', [], 8),
      nodes: new Map([['f', front]]),
      config: {
        version: 1,
        text,
        digest: configDigest(text),
        compiled: JSON.stringify(checkConfig(text).config),
        changeId: '',
      },
    },
  );
  const compiledState = compileState(state, undefined);
  const simServers = new SimServers(clock, seededRng(1));
  const bounds = {
    pollIntervalMs: 0,
    pollTimeoutMs: 250,
    retryUnhealthyAfterMs: 1000,
    pollValidForMs: Infinity,
    reportedLoadValidForMs: 500,
  };
  const placement = new Placement({
    clock,
    backend: simServers.backend(new Incarnation()),
    policies: placementPolicies(true),
    bounds,
    compiledState: () => compiledState,
    maxInFlightPerServer: () => 16,
    frontId: 'f',
  });
  return {
    clock,
    placement,
    at: (id: string) => state.servers.get(id) ?? makeServer(id, 'none'),
  };
};
const createBatchPlacement = (...ids: readonly string[]) =>
  createPlacement(ids.map((id) => makeServer(id, 'big')));
const prompt = (tokens: number, name = 'a'): readonly PrefixBlock[] =>
  prefixBlocksOfParts([[name, tokens]]);

batches(
  'a server that cached the prompt is preferred until its running requests cost more than prefilling elsewhere',
  () => {
    for (const [requestCosts, requestsAtWarm] of [
      [0.5, 1],
      [1.5, 2],
      [2.5, 3],
      [50, places],
    ] as const) {
      const { placement, at: serverById } = createBatchPlacement('w', 'c');
      const parts = prompt(requestCosts * tokensPerRequest);
      placement.begin(serverById('w'), parts);
      const picked: string[] = [];
      while (
        picked.length < places &&
        placement.pick(talkRoute, parts, '', new Set())?.id === 'w'
      ) {
        picked.push('w');
        placement.begin(serverById('w'), parts);
      }
      assert.is(picked.length + 1, requestsAtWarm, `${requestCosts}`);
      assert.is(placement.pick(talkRoute, parts, '', new Set())?.id, 'c');
    }
  },
);

batches('only cached parts in an unbroken run from the first one count', () => {
  const { placement, at: serverById } = createBatchPlacement('w', 'c');
  placement.begin(
    serverById('w'),
    prefixBlocksOfParts([
      ['a', 5 * tokensPerRequest],
      ['b', 5 * tokensPerRequest],
    ]),
  );
  placement.begin(serverById('c'), []);
  placement.begin(serverById('c'), []);
  assert.is(
    placement.pick(
      talkRoute,
      prefixBlocksOfParts([
        ['a', 5 * tokensPerRequest],
        ['x', tokensPerRequest],
      ]),
      '',
      new Set(),
    )?.id,
    'w',
  );
  placement.end(serverById('c'), true);
  placement.end(serverById('c'), true);
  assert.is(
    placement.pick(
      talkRoute,
      prefixBlocksOfParts([
        ['x', tokensPerRequest],
        ['b', 5 * tokensPerRequest],
      ]),
      '',
      new Set(),
    )?.id,
    'c',
  );
});

batches(
  'a server in the zone of the front is preferred unless a remote one has cached more than one request costs',
  () => {
    const servers: readonly Server[] = [
      { ...makeServer('n', 'big'), zone: 'Here' },
      { ...makeServer('f', 'big'), zone: 'there' },
    ];
    const { placement, at: serverById } = createPlacement(servers, 'here');
    assert.is(placement.pick(talkRoute, prompt(tokensPerRequest, 'x'), '', new Set())?.id, 'n');
    for (const [requestCosts, id] of [
      [0.5, 'n'],
      [1.5, 'f'],
    ] as const) {
      const parts = prompt(requestCosts * tokensPerRequest, `t${requestCosts}`);
      placement.begin(serverById('f'), parts);
      placement.end(serverById('f'), true);
      assert.is(placement.pick(talkRoute, parts, '', new Set())?.id, id);
    }
  },
);

batches('a server gets no more requests than it has places, whatever it has cached', () => {
  const { placement, at: serverById } = createBatchPlacement('w');
  const parts = prompt(50 * tokensPerRequest);
  for (let i = 0; i < places; i++) {
    assert.is(placement.pick(talkRoute, parts, '', new Set())?.id, 'w');
    placement.begin(serverById('w'), parts);
  }
  assert.is(placement.pick(talkRoute, parts, '', new Set()), undefined);
  placement.end(serverById('w'), true);
  assert.is(placement.pick(talkRoute, parts, '', new Set())?.id, 'w');
});

batches('the places in the server list bound a server whose pool has no engine', () => {
  const { placement, at: serverById } = createPlacement([
    makeServer('p', 'plain', 2),
    makeServer('q', 'plain', 1),
  ]);
  const picked: string[] = [];
  for (let i = 0; i < 3; i++) {
    const server = placement.pick(plainRoute, [], '', new Set());
    picked.push(server?.id ?? 'none');
    if (server) placement.begin(serverById(server.id), []);
  }
  assert.equal(picked.sort(), ['p', 'p', 'q']);
  assert.is(placement.pick(plainRoute, [], '', new Set()), undefined);
});

batches('the load that a server reported with a response counts until it expires', async () => {
  const { clock, placement, at: serverById } = createBatchPlacement('a', 'b');
  const parts = prompt(tokensPerRequest / 10);
  const first = placement.pick(talkRoute, parts, '', new Set())?.id ?? '';
  const second = first === 'a' ? 'b' : 'a';
  placement.recordReportedLoad(serverById(first), { running: 2, waiting: 1, places });
  assert.is(placement.pick(talkRoute, parts, '', new Set())?.id, second);
  await clock.run(499);
  assert.is(placement.pick(talkRoute, parts, '', new Set())?.id, second);
  await clock.run(2);
  assert.is(placement.pick(talkRoute, parts, '', new Set())?.id, first);
});

batches(
  'a request with a prompt of unknown size goes to the server with the fewest requests',
  () => {
    const { placement, at: serverById } = createBatchPlacement('a', 'b');
    placement.begin(serverById('a'), []);
    assert.is(placement.pick(talkRoute, [], '', new Set())?.id, 'b');
    placement.begin(serverById('b'), []);
    placement.begin(serverById('b'), []);
    assert.is(placement.pick(talkRoute, [], '', new Set())?.id, 'a');
  },
);

batches.run();
