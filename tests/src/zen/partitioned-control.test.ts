import { suite } from 'uvu';
import { z } from 'zod';
import * as assert from 'uvu/assert';
import { configHistory, type ConfigCall } from '@tillerstair/checker';
import type { OperatorRequest } from '@tillerstair/control';
import { ConfigCalls, seededRng, type Machine, type World } from '@tillerstair/sim';
import { configText, small, worldUp } from '../support/world-helpers.js';

const cutOff = suite('a control that is cut off');

const Base = z.object({ base: z.number() });
const cutMs = 20000;
const afterMs = 8000;
const operators = 3;
const settleMs = 100;

type Way = 'both' | 'in' | 'out';

interface Answered {
  readonly at: Machine;
  readonly operation: OperatorRequest;
  readonly status: number;
  readonly from: number;
  readonly to: number;
}

const cut = (w: World, target: Machine, way: Way): void => {
  for (const m of w.machines.filter((x) => x !== target)) {
    if (way !== 'out') w.net.cut(m.addr, target.addr);
    if (way !== 'in') w.net.cut(target.addr, m.addr);
  }
};

const wait = (w: World, ms: number): Promise<void> =>
  new Promise((done) => void w.clock.after(ms, done));

/** Operators that go on sending changes, refusable changes, reads and resends to every control, and keep all answers. */
class Operators {
  readonly calls: ConfigCalls;
  readonly answered: Answered[] = [];
  readonly sent: string[] = [];
  private readonly rng;
  private version = 0;
  private made = 0;
  private over = false;

  constructor(
    private readonly w: World,
    seed: number,
  ) {
    this.calls = new ConfigCalls(w.clock);
    this.rng = seededRng(seed * 31 + 7);
  }

  pick<T>(from: readonly T[]): T | undefined {
    return from[Math.floor(this.rng() * from.length)];
  }

  send(at: Machine) {
    return async (operation: OperatorRequest) => {
      const from = this.w.clock.now();
      const got = await at.control?.operate(operation);
      this.answered.push({ at, operation, status: got?.status ?? 0, from, to: this.w.clock.now() });
      return got;
    };
  }

  private newText(base: number): string {
    const text = configText(base, 'models', 'shop', ++this.made % 7) + ' '.repeat(this.made);
    this.sent.push(text);
    return text;
  }

  private async change(text: string): Promise<void> {
    for (let tries = 0; tries < 5 && !this.over; tries++) {
      const at = this.pick(this.w.of('control'));
      const got = at && (await this.calls.put(text, this.send(at)));
      if (got?.status === 200)
        this.version = Math.max(this.version, Base.parse(JSON.parse(text)).base + 1);
      if (got?.status === 200 || got?.status === 409) return;
      await wait(this.w, 100 + this.rng() * 300);
    }
  }

  private async other(): Promise<void> {
    const at = this.pick(this.w.of('control'));
    const path = this.pick([
      'GET /v1/status',
      'GET /v1/stores/nobody/empty',
      'POST /v1/servers/nobody/draining',
      'POST /v1/stores/front-0/empty',
      'DELETE /v1/servers/nobody',
    ]);
    const [method = '', where = ''] = path?.split(' ') ?? [];
    if (at) await this.send(at)({ method, path: where, body: '' });
  }

  private async read(): Promise<void> {
    const at = this.pick(this.w.of('control'));
    const got = at && (await this.calls.read(this.send(at)));
    const last = this.calls.calls.findLast((c) => c.answer.kind === 'value')?.answer;
    if (got?.status === 200 && last?.kind === 'value')
      this.version = Math.max(this.version, last.version);
  }

  async run(): Promise<void> {
    while (!this.over) {
      const n = this.rng();
      if (n < 0.25) await this.read();
      else if (n < 0.6) await this.change(this.newText(this.version));
      else if (n < 0.7) await this.change(this.newText(Math.max(0, this.version - 1)));
      else if (n < 0.85) await this.change(this.pick(this.sent) ?? this.newText(this.version));
      else await this.other();
      await wait(this.w, this.rng() * 150);
    }
  }

  stop(): void {
    this.over = true;
  }
}

interface CutRun {
  readonly answered: readonly Answered[];
  readonly calls: readonly ConfigCall[];
  readonly target: Machine;
  readonly cutAt: number;
  readonly mendedAt: number;
}

const cutRun = async (w: World, seed: number, target: Machine, way: Way): Promise<CutRun> => {
  const ops = new Operators(w, seed);
  const master = w.master;
  if (!master) throw new Error('no master');
  await w.clock.finish('first', ops.calls.put(configText(0), ops.send(master)), 5000);
  const going = Promise.all(Array.from({ length: operators }, () => ops.run()));
  await w.clock.run(1500);
  cut(w, target, way);
  const cutAt = w.clock.now();
  await w.clock.run(cutMs);
  w.net.healCuts();
  const mendedAt = w.clock.now();
  await w.clock.run(afterMs);
  ops.stop();
  await w.clock.finish('operators', going, 20000);
  for (const at of w.of('control')) {
    const got = await w.clock.finish('read', ops.calls.read(ops.send(at)), 5000);
    assert.is(got?.status, 200);
  }
  return { answered: ops.answered, calls: ops.calls.calls, target, cutAt, mendedAt };
};

const duringCut = (r: CutRun): readonly Answered[] =>
  r.answered.filter((a) => a.from >= r.cutAt + settleMs && a.to <= r.mendedAt);

const isChange = (a: Answered): boolean => a.operation.method === 'PUT';

const ways: readonly Way[] = ['both', 'in', 'out'];

const roles = ['master', 'follower'];

roles.forEach((role, roleIndex) => {
  ways.forEach((way, n) => {
    cutOff(
      `${role}, ${way === 'both' ? 'both ways' : `one way ${way}`}, for 20 s: every answer is true and comes in good time`,
      async () => {
        for (const seed of [1 + roleIndex * ways.length + n]) {
          const w = await worldUp(seed, small);
          const target = w.of('control').find((m) => (m === w.master) === (role === 'master'));
          if (!target) throw new Error('no control');
          const run = await cutRun(w, seed, target, way);
          const outcome = configHistory(run.calls);
          assert.equal(outcome.breaches, [], `seed ${seed}`);
          assert.ok(outcome.checked > 50);
          const { heartbeatInterval, failureTimeout, readLease } = w.bounds;
          const atTarget = duringCut(run).filter((a) => a.at === target);
          assert.ok(atTarget.length > 10);
          for (const a of atTarget) {
            const what = `seed ${seed}: ${a.operation.method} ${a.operation.path} got ${a.status} from ${a.from - run.cutAt} to ${a.to - run.cutAt}`;
            assert.ok(a.status === 503 || a.status === 504, what);
            if (!isChange(a) && a.operation.method === 'GET') assert.is(a.status, 503, what);
            assert.ok(a.to - a.from <= failureTimeout + heartbeatInterval, what);
            if (role === 'master' && a.operation.method === 'GET')
              assert.ok(a.to - a.from <= heartbeatInterval * 1.5, what);
          }
          for (const a of run.answered)
            assert.ok(
              a.to - a.from <= failureTimeout * 2 + readLease,
              `${a.operation.method} ${a.operation.path} took ${a.to - a.from}`,
            );
          const elsewhere = duringCut(run).filter(
            (a) => a.at !== target && isChange(a) && a.status === 200,
          );
          assert.ok(
            elsewhere.length > 5,
            `seed ${seed}: ${elsewhere.length} changes while the control was cut off`,
          );
        }
      },
    );
  });
});

/** Cuts the master off and restarts the other controls, which elect another long before the old one misses them. */
const deposedUnknowing = async (seed: number) => {
  const w = await worldUp(seed, small);
  const calls = new ConfigCalls(w.clock);
  const old = w.master;
  const oldNode = old?.control;
  if (!old || !oldNode) throw new Error('no master');
  const toOld = (o: OperatorRequest) => oldNode.operate(o);
  const toNew = async (o: OperatorRequest) => w.master?.control?.operate(o);
  await w.clock.finish('first', calls.put(configText(0), toOld), 5000);
  const others = w.of('control').filter((m) => m !== old);
  for (const m of others) m.kill();
  cut(w, old, 'both');
  w.start(others);
  await w.clock.until('another master', () => w.master !== undefined && w.master !== old, 2500);
  return { w, calls, oldNode, toOld, toNew };
};

cutOff(
  'a master that does not know of its successor yet says nothing from its old state',
  async () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const { w, calls, oldNode, toOld, toNew } = await deposedUnknowing(seed);
      const next = configText(1, 'models', 'shop', 2);
      const put = calls.put(next, toNew);
      await w.clock.until('the next version', () => w.committed?.config?.version === 2, 2000);
      assert.ok(oldNode.zen.leading, 'the old master still leads in its own eyes');
      const late = [
        calls.put(configText(2, 'models', 'shop', 3), toOld),
        calls.put(configText(0), toOld),
        calls.read(toOld),
        toOld({
          method: 'POST',
          path: '/v1/config/prepare',
          body: JSON.stringify({ base: 2, version: 3, changeId: 'an order' }),
        }),
        toOld({ method: 'GET', path: '/v1/status', body: '' }),
        toOld({ method: 'GET', path: '/v1/stores/nobody/empty', body: '' }),
        toOld({ method: 'POST', path: '/v1/servers/nobody/draining', body: '' }),
        toOld({ method: 'POST', path: '/v1/stores/front-0/empty', body: '' }),
      ];
      const got = await w.clock.finish(
        'late calls',
        Promise.all(late),
        w.bounds.heartbeatInterval * 1.5,
      );
      for (const [n, o] of got.entries())
        assert.is(o?.status, 503, `call ${n}: ${JSON.stringify(o)}`);
      assert.is((await w.clock.finish('put', put, 10000))?.status, 200);
      assert.equal(configHistory(calls.calls).breaches, []);
    }
  },
);

cutOff('a refusal that rests on a change of the same batch waits for that change', async () => {
  const { w, calls, oldNode, toOld } = await deposedUnknowing(6);
  assert.ok(oldNode.zen.leading);
  const rivals = [1, 2].map((n) => calls.put(configText(1, 'models', 'shop', n), toOld));
  const got = await w.clock.finish('rivals', Promise.all(rivals), 5000);
  assert.equal(
    got.map((o) => o?.status),
    [504, 503],
  );
});

cutOff(
  'a master woken after another led refuses and confirms nothing from its old state',
  async () => {
    for (const seed of [1, 2, 3, 4, 5]) {
      const w = await worldUp(seed, small);
      const calls = new ConfigCalls(w.clock);
      const old = w.master;
      const oldNode = old?.control;
      if (!old || !oldNode) throw new Error('no master');
      const toOld = (o: OperatorRequest) => oldNode.operate(o);
      const toNew = async (o: OperatorRequest) => w.master?.control?.operate(o);
      await w.clock.finish('first', calls.put(configText(0), toOld), 5000);
      old.freeze();
      await w.clock.until(
        'another master',
        () => w.master !== undefined && w.master !== old,
        12000,
      );
      const next = configText(1, 'models', 'shop', 2);
      assert.is((await w.clock.finish('next', calls.put(next, toNew), 20000))?.status, 200);
      old.wake();
      const late = await w.clock.finish(
        'late calls',
        Promise.all([
          calls.put(configText(2, 'models', 'shop', 3), toOld),
          calls.put(configText(0), toOld),
          calls.put(next, toOld),
          calls.read(toOld),
          toOld({ method: 'GET', path: '/v1/stores/nobody/empty', body: '' }),
          toOld({ method: 'POST', path: '/v1/servers/nobody/draining', body: '' }),
        ]),
        30000,
      );
      for (const got of late)
        assert.ok(got?.status === 503 || got?.status === 504, JSON.stringify(got));
      assert.equal(configHistory(calls.calls).breaches, []);
    }
  },
);

cutOff('invalid configurations are refused without a majority', async () => {
  const w = await worldUp(6, small);
  const master = w.master;
  if (!master) throw new Error('no master');
  cut(w, master, 'both');
  assert.is((await w.operate('PUT', '/v1/config', '{}', master, 50)).status, 422);
});

cutOff('reads and refusals that come together share one round of messages', async () => {
  const w = await worldUp(7, small);
  const asked = { rounds: 0 };
  const master = w.master;
  w.net.onMessage = (m) => {
    if (
      m.kind === 'zen/node-ping' &&
      m.from === master?.addr &&
      m.to === w.of('control').find((c) => c !== master)?.addr
    )
      asked.rounds++;
  };
  const node = master?.control;
  if (!node) throw new Error('no master');
  const many = Array.from({ length: 40 }, (_, n) =>
    n % 2 === 0
      ? node.operate({ method: 'GET', path: '/v1/config', body: '' })
      : node.operate({
          method: 'PUT',
          path: '/v1/config',
          body: configText(7, 'models', 'shop', n),
        }),
  );
  const got = await w.clock.finish('many', Promise.all(many), 500);
  assert.equal(new Set(got.map((o) => o.status)), new Set([200, 409]));
  assert.ok(asked.rounds <= 8, `${asked.rounds} messages`);
});

cutOff.run();
