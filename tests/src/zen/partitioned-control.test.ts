/**
 * Answers of a control that is cut off from the others, or frozen while another master is elected. It must report no
 * outdated state, and must refuse in time what it cannot confirm with a majority.
 */
import { suite } from 'uvu';
import { z } from 'zod';
import * as assert from 'uvu/assert';
import { checkConfigHistory, type ConfigCall } from '@tillerstair/checker';
import type { OperatorRequest } from '@tillerstair/control';
import { ConfigCalls, seededRng, type Machine, type World } from '@tillerstair/sim';
import { configText, small, worldUp } from '../support/world-helpers.js';

const cutOff = suite('a control that is cut off');

const Base = z.object({ base: z.number() });
const cutMs = 20000;
/** Time, in ms, that the operators go on after the network has healed. */
const recoveryMs = 8000;
const operatorCount = 3;
/** Calls sent within this time, in ms, after the cut are not judged. */
const graceMs = 100;

/** The messages that are dropped, seen from the target: both directions, only to it, or only from it. */
type CutDirection = 'both' | 'in' | 'out';

/** One call to a control: the HTTP status, 0 without an answer, and the clock times, in ms, of call and answer. */
interface Answered {
  readonly at: Machine;
  readonly operation: OperatorRequest;
  readonly status: number;
  readonly from: number;
  readonly to: number;
}

const cut = (sim: World, target: Machine, direction: CutDirection): void => {
  for (const machine of sim.machines.filter((candidate) => candidate !== target)) {
    if (direction !== 'out') sim.net.cut(machine.addr, target.addr);
    if (direction !== 'in') sim.net.cut(target.addr, machine.addr);
  }
};

const wait = (sim: World, ms: number): Promise<void> =>
  new Promise((done) => void sim.clock.after(ms, done));

/** Operators that send new, outdated and repeated changes and reads to random controls, and record all answers. */
class Operators {
  readonly calls: ConfigCalls;
  readonly answered: Answered[] = [];
  readonly sent: string[] = [];
  private readonly rng;
  private version = 0;
  private made = 0;
  private over = false;

  constructor(
    private readonly sim: World,
    seed: number,
  ) {
    this.calls = new ConfigCalls(sim.clock);
    this.rng = seededRng(seed * 31 + 7);
  }

  pick<T>(from: readonly T[]): T | undefined {
    return from[Math.floor(this.rng() * from.length)];
  }

  send(at: Machine) {
    return async (operation: OperatorRequest) => {
      const from = this.sim.clock.now();
      const response = await at.control?.operate(operation);
      this.answered.push({
        at,
        operation,
        status: response?.status ?? 0,
        from,
        to: this.sim.clock.now(),
      });
      return response;
    };
  }

  private newText(base: number): string {
    const text = configText(base, 'models', 'shop', ++this.made % 7) + ' '.repeat(this.made);
    this.sent.push(text);
    return text;
  }

  private async change(text: string): Promise<void> {
    for (let attempt = 0; attempt < 5 && !this.over; attempt++) {
      const at = this.pick(this.sim.of('control'));
      const response = at && (await this.calls.put(text, this.send(at)));
      if (response?.status === 200)
        this.version = Math.max(this.version, Base.parse(JSON.parse(text)).base + 1);
      if (response?.status === 200 || response?.status === 409) return;
      await wait(this.sim, 100 + this.rng() * 300);
    }
  }

  private async sendOtherOperation(): Promise<void> {
    const at = this.pick(this.sim.of('control'));
    const operation = this.pick([
      'GET /v1/status',
      'GET /v1/stores/nobody/empty',
      'POST /v1/servers/nobody/draining',
      'POST /v1/stores/front-0/empty',
      'DELETE /v1/servers/nobody',
    ]);
    const [method = '', path = ''] = operation?.split(' ') ?? [];
    if (at) await this.send(at)({ method, path, body: '' });
  }

  private async read(): Promise<void> {
    const at = this.pick(this.sim.of('control'));
    const response = at && (await this.calls.read(this.send(at)));
    const lastValue = this.calls.calls.findLast((call) => call.answer.kind === 'value')?.answer;
    if (response?.status === 200 && lastValue?.kind === 'value')
      this.version = Math.max(this.version, lastValue.version);
  }

  async run(): Promise<void> {
    while (!this.over) {
      const choice = this.rng();
      if (choice < 0.25) await this.read();
      else if (choice < 0.6) await this.change(this.newText(this.version));
      else if (choice < 0.7) await this.change(this.newText(Math.max(0, this.version - 1)));
      else if (choice < 0.85) await this.change(this.pick(this.sent) ?? this.newText(this.version));
      else await this.sendOtherOperation();
      await wait(this.sim, this.rng() * 150);
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
  readonly healedAt: number;
}

const cutRun = async (
  sim: World,
  seed: number,
  target: Machine,
  direction: CutDirection,
): Promise<CutRun> => {
  const operators = new Operators(sim, seed);
  const master = sim.master;
  if (!master) throw new Error('the cluster has no master');
  await sim.clock.finish('first', operators.calls.put(configText(0), operators.send(master)), 5000);
  const running = Promise.all(Array.from({ length: operatorCount }, () => operators.run()));
  await sim.clock.run(1500);
  cut(sim, target, direction);
  const cutAt = sim.clock.now();
  await sim.clock.run(cutMs);
  sim.net.healCuts();
  const healedAt = sim.clock.now();
  await sim.clock.run(recoveryMs);
  operators.stop();
  await sim.clock.finish('operators', running, 20000);
  for (const at of sim.of('control')) {
    const response = await sim.clock.finish('read', operators.calls.read(operators.send(at)), 5000);
    assert.is(response?.status, 200);
  }
  return { answered: operators.answered, calls: operators.calls.calls, target, cutAt, healedAt };
};

const answeredDuringCut = (run: CutRun): readonly Answered[] =>
  run.answered.filter((answer) => answer.from >= run.cutAt + graceMs && answer.to <= run.healedAt);

const isChange = (answer: Answered): boolean => answer.operation.method === 'PUT';

const directions: readonly CutDirection[] = ['both', 'in', 'out'];

const roles = ['master', 'follower'];

roles.forEach((role, roleIndex) => {
  directions.forEach((direction, directionIndex) => {
    cutOff(
      `${role}, ${direction === 'both' ? 'in both directions' : `in direction ${direction} only`}, for 20 s: every answer is correct and in time`,
      async () => {
        for (const seed of [1 + roleIndex * directions.length + directionIndex]) {
          const sim = await worldUp(seed, small);
          const target = sim
            .of('control')
            .find((control) => (control === sim.master) === (role === 'master'));
          if (!target) throw new Error(`no control is a ${role}`);
          const run = await cutRun(sim, seed, target, direction);
          const history = checkConfigHistory(run.calls);
          assert.equal(history.breaches, [], `seed ${seed}`);
          assert.ok(history.checked > 50);
          const { heartbeatInterval, failureTimeout, readLease } = sim.bounds;
          const atTarget = answeredDuringCut(run).filter((answer) => answer.at === target);
          assert.ok(atTarget.length > 10);
          for (const answer of atTarget) {
            const description = `seed ${seed}: ${answer.operation.method} ${answer.operation.path} got ${answer.status} from ${answer.from - run.cutAt} to ${answer.to - run.cutAt}`;
            assert.ok(answer.status === 503 || answer.status === 504, description);
            if (!isChange(answer) && answer.operation.method === 'GET')
              assert.is(answer.status, 503, description);
            assert.ok(answer.to - answer.from <= failureTimeout + heartbeatInterval, description);
            if (role === 'master' && answer.operation.method === 'GET')
              assert.ok(answer.to - answer.from <= heartbeatInterval * 1.5, description);
          }
          for (const answer of run.answered)
            assert.ok(
              answer.to - answer.from <= failureTimeout * 2 + readLease,
              `${answer.operation.method} ${answer.operation.path} took ${answer.to - answer.from}`,
            );
          const changesElsewhere = answeredDuringCut(run).filter(
            (answer) => answer.at !== target && isChange(answer) && answer.status === 200,
          );
          assert.ok(
            changesElsewhere.length > 5,
            `seed ${seed}: ${changesElsewhere.length} changes while the control was cut off`,
          );
        }
      },
    );
  });
});

/** Cuts the master off and restarts the other controls, which elect another before the old one notices the cut. */
const withUnawareMaster = async (seed: number) => {
  const sim = await worldUp(seed, small);
  const calls = new ConfigCalls(sim.clock);
  const oldMaster = sim.master;
  const oldNode = oldMaster?.control;
  if (!oldMaster || !oldNode) throw new Error('the cluster has no master');
  const sendToOld = (request: OperatorRequest) => oldNode.operate(request);
  const sendToNew = async (request: OperatorRequest) => sim.master?.control?.operate(request);
  await sim.clock.finish('first', calls.put(configText(0), sendToOld), 5000);
  const others = sim.of('control').filter((control) => control !== oldMaster);
  for (const control of others) control.kill();
  cut(sim, oldMaster, 'both');
  sim.start(others);
  await sim.clock.until(
    'another master',
    () => sim.master !== undefined && sim.master !== oldMaster,
    2500,
  );
  return { sim, calls, oldNode, sendToOld, sendToNew };
};

cutOff('a master unaware of its successor reports nothing from its outdated state', async () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const { sim, calls, oldNode, sendToOld, sendToNew } = await withUnawareMaster(seed);
    const next = configText(1, 'models', 'shop', 2);
    const put = calls.put(next, sendToNew);
    await sim.clock.until('the next version', () => sim.committed?.config?.version === 2, 2000);
    assert.ok(oldNode.zen.leading, 'the old master still considers itself the master');
    const lateCalls = [
      calls.put(configText(2, 'models', 'shop', 3), sendToOld),
      calls.put(configText(0), sendToOld),
      calls.read(sendToOld),
      sendToOld({
        method: 'POST',
        path: '/v1/config/prepare',
        body: JSON.stringify({ base: 2, version: 3, changeId: 'an order' }),
      }),
      sendToOld({ method: 'GET', path: '/v1/status', body: '' }),
      sendToOld({ method: 'GET', path: '/v1/stores/nobody/empty', body: '' }),
      sendToOld({ method: 'POST', path: '/v1/servers/nobody/draining', body: '' }),
      sendToOld({ method: 'POST', path: '/v1/stores/front-0/empty', body: '' }),
    ];
    const responses = await sim.clock.finish(
      'late calls',
      Promise.all(lateCalls),
      sim.bounds.heartbeatInterval * 1.5,
    );
    for (const [index, response] of responses.entries())
      assert.is(response?.status, 503, `call ${index}: ${JSON.stringify(response)}`);
    assert.is((await sim.clock.finish('put', put, 10000))?.status, 200);
    assert.equal(checkConfigHistory(calls.calls).breaches, []);
  }
});

cutOff(
  'a refusal due to a change of the same batch waits for the outcome of that change',
  async () => {
    const { sim, calls, oldNode, sendToOld } = await withUnawareMaster(6);
    assert.ok(oldNode.zen.leading);
    const conflicting = [1, 2].map((extra) =>
      calls.put(configText(1, 'models', 'shop', extra), sendToOld),
    );
    const responses = await sim.clock.finish('conflicting changes', Promise.all(conflicting), 5000);
    assert.equal(
      responses.map((response) => response?.status),
      [504, 503],
    );
  },
);

cutOff('a master frozen until another led reports nothing from its outdated state', async () => {
  for (const seed of [1, 2, 3, 4, 5]) {
    const sim = await worldUp(seed, small);
    const calls = new ConfigCalls(sim.clock);
    const oldMaster = sim.master;
    const oldNode = oldMaster?.control;
    if (!oldMaster || !oldNode) throw new Error('the cluster has no master');
    const sendToOld = (request: OperatorRequest) => oldNode.operate(request);
    const sendToNew = async (request: OperatorRequest) => sim.master?.control?.operate(request);
    await sim.clock.finish('first', calls.put(configText(0), sendToOld), 5000);
    oldMaster.freeze();
    await sim.clock.until(
      'another master',
      () => sim.master !== undefined && sim.master !== oldMaster,
      12000,
    );
    const next = configText(1, 'models', 'shop', 2);
    assert.is((await sim.clock.finish('next', calls.put(next, sendToNew), 20000))?.status, 200);
    oldMaster.wake();
    const responses = await sim.clock.finish(
      'late calls',
      Promise.all([
        calls.put(configText(2, 'models', 'shop', 3), sendToOld),
        calls.put(configText(0), sendToOld),
        calls.put(next, sendToOld),
        calls.read(sendToOld),
        sendToOld({ method: 'GET', path: '/v1/stores/nobody/empty', body: '' }),
        sendToOld({ method: 'POST', path: '/v1/servers/nobody/draining', body: '' }),
      ]),
      30000,
    );
    for (const response of responses)
      assert.ok(response?.status === 503 || response?.status === 504, JSON.stringify(response));
    assert.equal(checkConfigHistory(calls.calls).breaches, []);
  }
});

cutOff('an invalid configuration is refused without a majority', async () => {
  const sim = await worldUp(6, small);
  const master = sim.master;
  if (!master) throw new Error('the cluster has no master');
  cut(sim, master, 'both');
  assert.is((await sim.operate('PUT', '/v1/config', '{}', master, 50)).status, 422);
});

cutOff('concurrent reads and refusals share rounds of messages', async () => {
  const sim = await worldUp(7, small);
  const counted = { rounds: 0 };
  const master = sim.master;
  sim.net.onMessage = (message) => {
    if (
      message.kind === 'zen/node-ping' &&
      message.from === master?.addr &&
      message.to === sim.of('control').find((control) => control !== master)?.addr
    )
      counted.rounds++;
  };
  const node = master?.control;
  if (!node) throw new Error('the cluster has no master');
  const requests = Array.from({ length: 40 }, (_, index) =>
    index % 2 === 0
      ? node.operate({ method: 'GET', path: '/v1/config', body: '' })
      : node.operate({
          method: 'PUT',
          path: '/v1/config',
          body: configText(7, 'models', 'shop', index),
        }),
  );
  const responses = await sim.clock.finish('requests', Promise.all(requests), 500);
  assert.equal(new Set(responses.map((response) => response.status)), new Set([200, 409]));
  assert.ok(counted.rounds <= 8, `${counted.rounds} messages`);
});

cutOff.run();
