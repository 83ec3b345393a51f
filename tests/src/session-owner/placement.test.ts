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
import { five, recordsOf, worldUp } from '../support/world-helpers.js';

const place = suite('placement, lines and weights');

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
if (!route) throw new Error('no route');

const stateWith = (ids: readonly (readonly [string, string])[]): State =>
  ids.reduce<State>(
    (s, [id, pool]) =>
      reduceState(s, {
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

const six = [
  ['n1', 'new'],
  ['n2', 'new'],
  ['n3', 'new'],
  ['o1', 'old'],
  ['o2', 'old'],
  ['o3', 'old'],
] as const;

const placing = (s: State, affinity = true) => {
  const clock = new SimClock();
  const table = compileState(s, undefined);
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
      policies: placementPolicies(affinity),
      bounds,
      compiledState: () => table,
      maxInFlightPerServer: () => 16,
      frontId: '',
    }),
  };
};

place('shares are kept to within rounding, whatever the weights say', () => {
  const weights = new Map(six.map(([id, pool]) => [weightKey(pool, id), id === 'n1' ? 0.1 : 1]));
  const { placement } = placing(reduceState(stateWith(six), { kind: 'weights', weights }));
  const count = new Map<string, number>();
  for (let i = 0; i < 1000; i++) {
    const s = placement.pick(route, [], '', new Set());
    if (!s) throw new Error('nothing picked');
    placement.begin(s, []);
    placement.end(s, true);
    count.set(s.pool, (count.get(s.pool) ?? 0) + 1);
  }
  assert.ok(Math.abs((count.get('new') ?? 0) - 700) <= 1, `${count.get('new') ?? 0} of 1000`);
});

place('turns that follow stay in their pool and the shares still come out', () => {
  const { placement } = placing(stateWith(six));
  let inNew = 0;
  const sticky: string[] = [];
  for (let i = 0; i < 2000; i++) {
    const stay = i % 2 ? (sticky[i - 1] ?? '') : '';
    const s = placement.pick(route, [], stay, new Set());
    if (!s) throw new Error('nothing picked');
    if (stay) assert.is(s.pool, stay);
    sticky.push(s.pool);
    if (s.pool === 'new') inNew++;
  }
  assert.ok(Math.abs(inNew - 1400) <= 20, `${inNew} of 2000`);
});

place('a slow server gets less, a busy warm one loses to an idle cold one', () => {
  const s = stateWith([
    ['n1', 'new'],
    ['n2', 'new'],
    ['n3', 'new'],
  ]);
  const slow = reduceState(s, {
    kind: 'weights',
    weights: new Map([[weightKey('new', 'n1'), 0.25]]),
  });
  const { placement } = placing(slow);
  const count = new Map<string, number>();
  for (let i = 0; i < 30; i++) {
    const got = placement.pick(route, [], '', new Set());
    if (!got) throw new Error('nothing picked');
    placement.begin(got, []);
    count.set(got.id, (count.get(got.id) ?? 0) + 1);
  }
  assert.ok((count.get('n1') ?? 0) < (count.get('n2') ?? 0) / 2, JSON.stringify([...count]));
  const warm = placing(s).placement;
  const prefix = prefixBlocksOfMessages([{ role: 'user', text: 'x'.repeat(2000) }]);
  const first = warm.pick(route, prefix, '', new Set());
  if (!first) throw new Error('nothing picked');
  warm.begin(first, prefix);
  assert.is(warm.pick(route, prefix, '', new Set())?.id, first.id);
  for (let i = 0; i < 8; i++) warm.begin(first, prefix);
  assert.is.not(warm.pick(route, prefix, '', new Set())?.id, first.id);
});

place('leaving, removed and moved servers are not allowed any more after a pick', () => {
  const s = stateWith(six);
  const before = s.servers.get('n1');
  if (!before) throw new Error('no server');
  assert.is(placing(s).placement.isAllowed(before, route), true);
  assert.is(
    placing(reduceState(s, { kind: 'server-mark', id: 'n1', draining: true })).placement.isAllowed(
      before,
      route,
    ),
    false,
  );
  assert.is(
    placing(reduceState(s, { kind: 'server-removed', id: 'n1' })).placement.isAllowed(
      before,
      route,
    ),
    false,
  );
  assert.is(
    placing(
      reduceState(s, { kind: 'server', server: { ...before, pool: 'other' } }),
    ).placement.isAllowed(before, route),
    false,
  );
});

place('weights move by steps towards what servers do, and stay put when nothing changes', () => {
  let s = stateWith(six);
  const paces = new Map(six.map(([id]) => [id, id === 'n1' ? 50 : 200]));
  let steps = 0;
  for (; steps < 60; steps++) {
    const next = tunedWeights(s, paces);
    const old = s.weights.get(weightKey('new', 'n1')) ?? 1;
    assert.ok(Math.abs((next.get(weightKey('new', 'n1')) ?? 1) - old) <= 0.3);
    if ([...next].every(([k, w]) => s.weights.get(k) === w)) break;
    s = reduceState(s, { kind: 'weights', weights: next });
  }
  assert.ok(steps < 60, 'never settles');
  assert.ok(Math.abs((s.weights.get(weightKey('new', 'n1')) ?? 1) - 0.25) <= 0.06);
  assert.is(s.weights.get(weightKey('new', 'n2')), 1);
  assert.equal(tunedWeights(s, new Map()), s.weights);
});

place(
  'urgent goes first, ordinary is not starved, the line is bounded, the late and the gone leave',
  async () => {
    const clock = new SimClock();
    const admissionQueue = new AdmissionQueue<string>(clock, () => 12);
    let free = 0;
    const pick = (): string | undefined => (free > 0 ? (free--, 'server') : undefined);
    const order: string[] = [];
    const never = createAbortController().signal;
    const enter = (name: string, isUrgent: boolean, timeoutMs = 1000, signal = never) =>
      admissionQueue.enter({ isUrgent, timeoutMs, signal, pick }).then(
        () => order.push(name),
        (e: unknown) => order.push(`${name} ${e instanceof RpcError ? e.code : 'other'}`),
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
    assert.equal(order.join(''), 'uuuuouuuuo');
    const gone = new AbortController();
    void enter('g', false, 1000, gone.signal);
    for (let i = 0; i < 10; i++) void enter('f', false);
    await clock.runReadyTasks();
    assert.ok(order.some((x) => x === 'f queue-full'));
    gone.abort();
    await clock.runReadyTasks();
    assert.ok(order.includes('g gone'));
    await clock.run(1100);
    assert.ok(order.includes('f queue-timeout'));
    assert.is(admissionQueue.waiting, 0);
  },
);

place(
  'a server that fails for one front only stays in use by the others; one silent to all is soon down for all',
  async () => {
    const w = await worldUp(91, five);
    const ps = await w.clock.finish(
      'programs',
      Promise.all(w.of('front').map((m) => w.program(900, m))),
      20000,
    );
    const down = (): boolean => w.committed?.servers.get('m1')?.down ?? false;
    w.servers.cutFronts.add('front-0>m1');
    const from = w.clock.now();
    let i = 0;
    const offer = async (ms: number): Promise<void> => {
      const going: Promise<unknown>[] = [];
      for (const end = w.clock.now() + ms; w.clock.now() < end;) {
        ps.forEach((p, n) =>
          going.push(w.turn(p.program, null, `s #${i++}`, `s${i}`, w.of('front')[n])),
        );
        await w.clock.run(150);
        assert.ok(
          w.clock.now() < from + 1500 || !down(),
          'one front alone takes no server from all',
        );
      }
      await w.clock.finish('turns', Promise.all(going), 60000);
    };
    await offer(6000);
    assert.ok(
      w.servers.executed.filter((r) => r.server === 'm1' && r.began > from + 1500).length > 10,
    );
    assert.equal(
      w.reported.filter((t) => t.reported !== 'done').map((t) => t.errorCode),
      [],
    );
    w.servers.set('m1', { refuses: true });
    const took = await w.clock.until('down', down, 10000);
    assert.ok(took < 3000, `${took} ms`);
    w.servers.set('m1', { refuses: false });
    w.servers.cutFronts.clear();
    assert.ok((await w.clock.until('up', () => !down(), 10000)) < 3000);
  },
);

place(
  "work is split by the operator's shares while weights are tuned and the master changes",
  async () => {
    const w = await worldUp(92, five);
    for (const [id, pool] of [
      ['m3', 'models'],
      ['n1', 'others'],
      ['n2', 'others'],
    ])
      await w.operate(
        'PUT',
        `/v1/servers/${id}`,
        JSON.stringify({ pool, url: 'http://127.0.0.1:1' }),
      );
    const { config } = checkConfig(
      stormConfig({ base: 1, turnPools: ['models', 'others'], callPool: 'shop', extra: 0 }),
    );
    const shares = [
      { pool: 'models', share: 3 },
      { pool: 'others', share: 1 },
    ];
    const routes = config?.routes.map((l) => (l.name === 'chat' ? { ...l, shares } : l));
    assert.is(
      (await w.operate('PUT', '/v1/config', JSON.stringify({ ...config, routes }))).status,
      200,
    );
    w.servers.set('m1', { slow: 4 });
    await w.clock.run(1000);
    const ps = await w.clock.finish(
      'programs',
      Promise.all(Array.from({ length: 60 }, () => w.program(900))),
      20000,
    );
    const from = w.clock.now();
    const going: Promise<unknown>[] = [];
    const weightOfFirst = (): number => w.committed?.weights.get(weightKey('models', 'm1')) ?? 1;
    let least = 1;
    for (let i = 0; i < 900; i++) {
      const p = ps.at(i % ps.length);
      if (p) going.push(w.turn(p.program, null, `w #${i}`, `w${i}`));
      if (i === 450) w.master?.kill();
      least = Math.min(least, weightOfFirst());
      await w.clock.run(20);
    }
    await w.clock.finish('turns', Promise.all(going), 60000);
    assert.ok(least < 0.6, `weight ${least}`);
    const row = {
      kind: 'generate' as const,
      from,
      to: w.clock.now(),
      shares: [
        ['models', 3],
        ['others', 1],
      ] as const,
      rounding: 12,
    };
    const outcome = checkRecords(recordsOf(w, { shares: [row] })).find((v) =>
      v.rule.includes('shares'),
    );
    assert.equal(outcome?.breaches, []);
    assert.ok((outcome?.checked ?? 0) >= 2);
  },
);

place.run();
