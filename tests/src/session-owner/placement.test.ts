/** Placement by shares, weights and prefix affinity; admission by class; servers that one front or all cannot reach. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { tunedWeights } from '@tillerstair/control';
import { checkRecords } from '@tillerstair/checker';
import { Incarnation, seededRng, SimClock, SimServers, stormConfig } from '@tillerstair/sim';
import {
  checkConfig,
  configDigest,
  bootstrapState,
  reduceState,
  weightKey,
  type State,
} from '@tillerstair/state';
import {
  placementPolicies,
  AdmissionQueue,
  Placement,
  prefixBlocksOfMessages,
  compileState,
} from '@tillerstair/session-owner';
import { createAbortController, RpcError } from '@tillerstair/wire';
import { fiveControls, recordsOf, worldUp } from '../support/world-helpers.js';

const placementSuite = suite('placement, admission and weights');

const text = JSON.stringify({
  base: 0,
  pools: [
    { name: 'new', kind: 'model' },
    { name: 'old', kind: 'model' },
  ],
  routes: [
    {
      name: 'chat',
      match: { kind: 'turn', path: '/chat' },
      shares: [
        { pool: 'new', share: 7 },
        { pool: 'old', share: 3 },
      ],
    },
  ],
});
const route = checkConfig(text).config?.routes[0];
if (!route) throw new Error('the test configuration has no route');

/** A cluster state with a server for each id and pool. */
const stateWith = (servers: readonly (readonly [string, string])[]): State =>
  servers.reduce<State>(
    (state, [id, pool]) =>
      reduceState(state, {
        kind: 'server',
        server: {
          id,
          pool,
          url: `http://127.0.0.1:1/${id}`,
          draining: false,
          down: false,
          zone: '',
          places: 0,
        },
      }),
    {
      ...bootstrapState('x', [], 8),
      config: {
        version: 1,
        text,
        digest: configDigest(text),
        compiled: JSON.stringify(checkConfig(text).config),
        changeId: '',
      },
    },
  );

const sixServers = [
  ['n1', 'new'],
  ['n2', 'new'],
  ['n3', 'new'],
  ['o1', 'old'],
  ['o2', 'old'],
  ['o3', 'old'],
] as const;

const createPlacement = (state: State, withAffinity = true) => {
  const clock = new SimClock();
  const compiledState = compileState(state, undefined);
  const servers = new SimServers(clock, seededRng(1));
  const bounds = {
    pollIntervalMs: 250,
    pollTimeoutMs: 250,
    retryUnhealthyAfterMs: 1000,
    pollValidForMs: Infinity,
    reportedLoadValidForMs: 500,
  };
  return {
    clock,
    placement: new Placement({
      clock,
      backend: servers.backend(new Incarnation()),
      policies: placementPolicies(withAffinity),
      bounds,
      compiledState: () => compiledState,
      maxInFlightPerServer: () => 16,
      frontId: '',
    }),
  };
};

placementSuite('pools get their shares to within rounding, whatever the weights', () => {
  const weights = new Map(
    sixServers.map(([id, pool]) => [weightKey(pool, id), id === 'n1' ? 0.1 : 1]),
  );
  const { placement } = createPlacement(
    reduceState(stateWith(sixServers), { kind: 'weights', weights }),
  );
  const picksByPool = new Map<string, number>();
  for (let i = 0; i < 1000; i++) {
    const server = placement.pick(route, [], '', new Set());
    if (!server) throw new Error('no server was picked');
    placement.begin(server, []);
    placement.end(server, true);
    picksByPool.set(server.pool, (picksByPool.get(server.pool) ?? 0) + 1);
  }
  assert.ok(
    Math.abs((picksByPool.get('new') ?? 0) - 700) <= 1,
    `${picksByPool.get('new') ?? 0} of 1000`,
  );
});

placementSuite('turns stay in the pool of the preceding turn and the shares are still kept', () => {
  const { placement } = createPlacement(stateWith(sixServers));
  let inNew = 0;
  const pools: string[] = [];
  for (let i = 0; i < 2000; i++) {
    const stickyPool = i % 2 ? (pools[i - 1] ?? '') : '';
    const server = placement.pick(route, [], stickyPool, new Set());
    if (!server) throw new Error('no server was picked');
    if (stickyPool) assert.is(server.pool, stickyPool);
    pools.push(server.pool);
    if (server.pool === 'new') inNew++;
  }
  assert.ok(Math.abs(inNew - 1400) <= 20, `${inNew} of 2000`);
});

placementSuite(
  'a slow server gets fewer requests, and an idle cold one is preferred to a busy warm one',
  () => {
    const state = stateWith([
      ['n1', 'new'],
      ['n2', 'new'],
      ['n3', 'new'],
    ]);
    const stateWithSlow = reduceState(state, {
      kind: 'weights',
      weights: new Map([[weightKey('new', 'n1'), 0.25]]),
    });
    const { placement } = createPlacement(stateWithSlow);
    const picksByServer = new Map<string, number>();
    for (let i = 0; i < 30; i++) {
      const server = placement.pick(route, [], '', new Set());
      if (!server) throw new Error('no server was picked');
      placement.begin(server, []);
      picksByServer.set(server.id, (picksByServer.get(server.id) ?? 0) + 1);
    }
    assert.ok(
      (picksByServer.get('n1') ?? 0) < (picksByServer.get('n2') ?? 0) / 2,
      JSON.stringify([...picksByServer]),
    );
    const withPrefix = createPlacement(state).placement;
    const prefix = prefixBlocksOfMessages([{ role: 'user', text: 'x'.repeat(2000) }]);
    const warmServer = withPrefix.pick(route, prefix, '', new Set());
    if (!warmServer) throw new Error('no server was picked');
    withPrefix.begin(warmServer, prefix);
    assert.is(withPrefix.pick(route, prefix, '', new Set())?.id, warmServer.id);
    for (let i = 0; i < 8; i++) withPrefix.begin(warmServer, prefix);
    assert.is.not(withPrefix.pick(route, prefix, '', new Set())?.id, warmServer.id);
  },
);

placementSuite(
  'a picked server that drains, is removed or changes its pool is no longer allowed',
  () => {
    const state = stateWith(sixServers);
    const picked = state.servers.get('n1');
    if (!picked) throw new Error('server n1 is not listed');
    assert.is(createPlacement(state).placement.isAllowed(picked, route), true);
    assert.is(
      createPlacement(
        reduceState(state, { kind: 'server-mark', id: 'n1', draining: true }),
      ).placement.isAllowed(picked, route),
      false,
    );
    assert.is(
      createPlacement(reduceState(state, { kind: 'server-removed', id: 'n1' })).placement.isAllowed(
        picked,
        route,
      ),
      false,
    );
    assert.is(
      createPlacement(
        reduceState(state, { kind: 'server', server: { ...picked, pool: 'other' } }),
      ).placement.isAllowed(picked, route),
      false,
    );
  },
);

placementSuite('weights approach the speeds of servers in steps and then stay constant', () => {
  let state = stateWith(sixServers);
  const tokensPerSecond = new Map(sixServers.map(([id]) => [id, id === 'n1' ? 50 : 200]));
  let steps = 0;
  for (; steps < 60; steps++) {
    const weights = tunedWeights(state, tokensPerSecond);
    const previous = state.weights.get(weightKey('new', 'n1')) ?? 1;
    assert.ok(Math.abs((weights.get(weightKey('new', 'n1')) ?? 1) - previous) <= 0.3);
    if ([...weights].every(([key, weight]) => state.weights.get(key) === weight)) break;
    state = reduceState(state, { kind: 'weights', weights });
  }
  assert.ok(steps < 60, 'the weights do not converge');
  assert.ok(Math.abs((state.weights.get(weightKey('new', 'n1')) ?? 1) - 0.25) <= 0.06);
  assert.is(state.weights.get(weightKey('new', 'n2')), 1);
  assert.equal(tunedWeights(state, new Map()), state.weights);
});

placementSuite(
  'urgent requests go first without starving ordinary ones; overdue and abandoned requests leave the bounded queue',
  async () => {
    const clock = new SimClock();
    const admissionQueue = new AdmissionQueue<string>(clock, () => 12);
    let free = 0;
    const pick = (): string | undefined => (free > 0 ? (free--, 'server') : undefined);
    const ended: string[] = [];
    const never = createAbortController().signal;
    const enter = (name: string, isUrgent: boolean, timeoutMs = 1000, signal = never) =>
      admissionQueue.enter({ isUrgent, timeoutMs, signal, pick }).then(
        () => ended.push(name),
        (error: unknown) =>
          ended.push(`${name} ${error instanceof RpcError ? error.code : 'other'}`),
      );
    for (let i = 0; i < 10; i++) {
      void enter('o', false);
      void enter('u', true);
    }
    await clock.runReadyTasks();
    for (let i = 0; i < 10; i++) {
      free = 1;
      admissionQueue.admitWaiting();
      await clock.runReadyTasks();
    }
    assert.equal(ended.join(''), 'uuuuouuuuo');
    const caller = new AbortController();
    void enter('g', false, 1000, caller.signal);
    for (let i = 0; i < 10; i++) void enter('f', false);
    await clock.runReadyTasks();
    assert.ok(ended.some((entry) => entry === 'f queue-full'));
    caller.abort();
    await clock.runReadyTasks();
    assert.ok(ended.includes('g gone'));
    await clock.run(1100);
    assert.ok(ended.includes('f queue-timeout'));
    assert.is(admissionQueue.waiting, 0);
  },
);

placementSuite(
  'a server that fails for one front stays in use by the others; one that fails for all is soon marked down',
  async () => {
    const cluster = await worldUp(91, fiveControls);
    const programs = await cluster.clock.finish(
      'programs',
      Promise.all(cluster.of('front').map((front) => cluster.program(900, front))),
      20000,
    );
    const isDown = (): boolean => cluster.committed?.servers.get('m1')?.down ?? false;
    cluster.servers.cutFronts.add('front-0>m1');
    const from = cluster.clock.now();
    let turns = 0;
    const sendTurns = async (durationMs: number): Promise<void> => {
      const pending: Promise<unknown>[] = [];
      for (const end = cluster.clock.now() + durationMs; cluster.clock.now() < end;) {
        programs.forEach((created, index) =>
          pending.push(
            cluster.turn(
              created.program,
              null,
              `s #${turns++}`,
              `s${turns}`,
              cluster.of('front')[index],
            ),
          ),
        );
        await cluster.clock.run(150);
        assert.ok(
          cluster.clock.now() < from + 1500 || !isDown(),
          'failures at one front do not mark a server down for all',
        );
      }
      await cluster.clock.finish('turns', Promise.all(pending), 60000);
    };
    await sendTurns(6000);
    assert.ok(
      cluster.servers.executed.filter(
        (execution) => execution.server === 'm1' && execution.began > from + 1500,
      ).length > 10,
    );
    assert.equal(
      cluster.reported.filter((reply) => reply.reported !== 'done').map((reply) => reply.errorCode),
      [],
    );
    cluster.servers.set('m1', { refuses: true });
    const elapsedMs = await cluster.clock.until('down', isDown, 10000);
    assert.ok(elapsedMs < 3000, `${elapsedMs} ms`);
    cluster.servers.set('m1', { refuses: false });
    cluster.servers.cutFronts.clear();
    assert.ok((await cluster.clock.until('up', () => !isDown(), 10000)) < 3000);
  },
);

placementSuite(
  'pools get the shares that the operator set while weights are tuned and the master changes',
  async () => {
    const cluster = await worldUp(92, fiveControls);
    for (const [id, pool] of [
      ['m3', 'models'],
      ['n1', 'others'],
      ['n2', 'others'],
    ])
      await cluster.operate(
        'PUT',
        `/v1/servers/${id}`,
        JSON.stringify({ pool, url: 'http://127.0.0.1:1' }),
      );
    const { config } = checkConfig(
      stormConfig({ base: 1, turnPools: ['models', 'others'], callPool: 'shop', extraRoutes: 0 }),
    );
    const shares = [
      { pool: 'models', share: 3 },
      { pool: 'others', share: 1 },
    ];
    const routes = config?.routes.map((r) => (r.name === 'chat' ? { ...r, shares } : r));
    assert.is(
      (await cluster.operate('PUT', '/v1/config', JSON.stringify({ ...config, routes }))).status,
      200,
    );
    cluster.servers.set('m1', { slow: 4 });
    await cluster.clock.run(1000);
    const programs = await cluster.clock.finish(
      'programs',
      Promise.all(Array.from({ length: 60 }, () => cluster.program(900))),
      20000,
    );
    const from = cluster.clock.now();
    const pending: Promise<unknown>[] = [];
    const slowWeight = (): number => cluster.committed?.weights.get(weightKey('models', 'm1')) ?? 1;
    let lowestWeight = 1;
    for (let i = 0; i < 900; i++) {
      const created = programs.at(i % programs.length);
      if (created) pending.push(cluster.turn(created.program, null, `w #${i}`, `w${i}`));
      if (i === 450) cluster.master?.kill();
      lowestWeight = Math.min(lowestWeight, slowWeight());
      await cluster.clock.run(20);
    }
    await cluster.clock.finish('turns', Promise.all(pending), 60000);
    assert.ok(lowestWeight < 0.6, `lowest weight of the slow server: ${lowestWeight}`);
    const sharesRecord = {
      kind: 'generate' as const,
      from,
      to: cluster.clock.now(),
      shares: [
        ['models', 3],
        ['others', 1],
      ] as const,
      rounding: 12,
    };
    const outcome = checkRecords(recordsOf(cluster, { shares: [sharesRecord] })).find(
      (ruleResult) => ruleResult.rule.includes('shares'),
    );
    assert.equal(outcome?.breaches, []);
    assert.ok((outcome?.checked ?? 0) >= 2);
  },
);

placementSuite.run();
