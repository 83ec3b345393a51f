/**
 * Configuration changes that are resent, concurrent or in conflict: each is made at most once, and its response stays
 * the same.
 */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkConfigHistory, type ConfigAnswer } from '@tillerstair/checker';
import type { OperatorRequest, OperatorResponse } from '@tillerstair/control';
import { OperatorAdapter } from '@tillerstair/platform';
import { ConfigCalls, seededRng, World, type Machine } from '@tillerstair/sim';
import {
  diffStates,
  encodeState,
  bootstrapState,
  reduceState,
  minimumRememberedChanges,
  acceptedChangeOutcome,
  decodeState,
  recordAcceptedChange,
  type State,
  type AcceptedChanges,
} from '@tillerstair/state';
import { small } from '../support/world-helpers.js';

const repeatedChanges = suite('resent changes');

const platformRoute = (name: string, overrides: object = {}) => ({
  name,
  host: 'a.example',
  pathPrefix: `/${name}/`,
  wayKind: 'repeatable',
  deadlineMs: 4000,
  depot: 'd1',
  ...overrides,
});
const configurationText = (edition: number, note = '') =>
  JSON.stringify({ edition, ways: [platformRoute('r1')], depots: [{ name: 'd1' }], note });
const patchText = (edition: number, name: string) =>
  JSON.stringify({ edition, upsert: { ways: [platformRoute(name)] } });

interface ConfigurationChange {
  readonly method: 'PUT' | 'PATCH';
  readonly base: number;
  readonly version: number;
  readonly body: string;
}

const put = (base: number, version: number, note = ''): ConfigurationChange => ({
  method: 'PUT',
  base,
  version,
  body: configurationText(version, note),
});
const patching = (base: number, version: number, name: string): ConfigurationChange => ({
  method: 'PATCH',
  base,
  version,
  body: patchText(version, name),
});

const answerOf = (response: OperatorResponse | undefined): ConfigAnswer => {
  if (response?.status === 200) return { kind: 'accepted' };
  if (response?.status === 412) return { kind: 'refused' };
  return response?.status === 503 || response?.status === 400
    ? { kind: 'no-effect' }
    : { kind: 'unclear' };
};

/** Operators, one for each control, with a record of their calls. */
class Operators {
  readonly calls: ConfigCalls;

  constructor(readonly cluster: World) {
    this.calls = new ConfigCalls(cluster.clock);
  }

  send(
    change: ConfigurationChange,
    machine: Machine | undefined = this.cluster.master,
  ): Promise<OperatorResponse | undefined> {
    const node = machine?.control;
    const callInfo = {
      kind: 'change' as const,
      changeId: `${change.method} ${change.base} ${change.body}`,
      base: change.base,
      version: change.version,
      content: undefined,
    };
    const adapter = new OperatorAdapter(
      async (request: OperatorRequest) =>
        (await node?.operate(request)) ?? { status: 504, body: null },
    );
    return this.calls.record(
      callInfo,
      () => adapter.change(change.method, String(change.base), change.body),
      answerOf,
    );
  }

  async status(change: ConfigurationChange, machine?: Machine): Promise<number> {
    return (
      (
        await this.cluster.clock.finish(
          `${change.method} ${change.version}`,
          this.send(change, machine),
          30000,
        )
      )?.status ?? 0
    );
  }

  check(): void {
    assert.equal(checkConfigHistory(this.calls.calls).breaches, []);
  }
}

const startOperators = async (seed: number): Promise<Operators> => {
  const cluster = new World(seed, { ...small, stores: 1, fronts: 0 });
  cluster.start();
  await cluster.clock.until('a master', () => cluster.master !== undefined, 12000);
  await cluster.clock.until('all nodes', () => cluster.committed?.nodes.size === 4, 12000);
  return new Operators(cluster);
};

const recordOf = (version: number) => ({
  version,
  text: '',
  digest: `d${version}`,
  compiled: '',
  changeId: `order ${version}`,
});

repeatedChanges(
  'the record of accepted changes is bounded, exact within its bound, and unknown beyond it',
  () => {
    const count = minimumRememberedChanges + 500;
    let state: State = bootstrapState('x', [], 8);
    let largestDiff = 0;
    for (let index = 1; index <= count; index++) {
      const next = reduceState(state, { kind: 'config', record: recordOf(index * 3) });
      if (index % 100 === 0)
        largestDiff = Math.max(
          largestDiff,
          JSON.stringify(diffStates(state, next).set.filter(([key]) => key.startsWith('taken/')))
            .length,
        );
      state = next;
    }
    assert.ok(largestDiff < 1000, `${largestDiff} bytes of a diff`);
    const bytes = [...encodeState(state)]
      .filter(([key]) => key.startsWith('taken/'))
      .reduce((total, [key, json]) => total + key.length + json.length, 0);
    assert.ok(bytes < 50000, `${bytes} bytes in all`);
    const decoded = decodeState(encodeState(state));
    assert.equal(decoded.acceptedChanges, state.acceptedChanges);
    for (let index = 1; index <= count; index++) {
      const outcome = acceptedChangeOutcome(
        decoded.acceptedChanges,
        index * 3,
        `order ${index * 3}`,
      );
      assert.is.not(outcome, 'not-accepted', `version ${index * 3}`);
      if (index > count - minimumRememberedChanges)
        assert.is(outcome, 'accepted', `version ${index * 3}`);
    }
    assert.is(acceptedChangeOutcome(decoded.acceptedChanges, 3, 'order 3'), 'forgotten');
    assert.is(acceptedChangeOutcome(decoded.acceptedChanges, count * 3, 'another'), 'not-accepted');
    assert.is(
      acceptedChangeOutcome(decoded.acceptedChanges, count * 3 + 1, `order ${count * 3}`),
      'not-accepted',
    );
  },
);

repeatedChanges('a version that begins or ends with the digits of another is distinguished', () => {
  const changes: AcceptedChanges = recordAcceptedChange(
    recordAcceptedChange(new Map(), 1, 'a'),
    21,
    'b',
  );
  assert.is(acceptedChangeOutcome(changes, 1, 'a'), 'accepted');
  assert.is(acceptedChangeOutcome(changes, 1, 'b'), 'not-accepted');
  assert.is(acceptedChangeOutcome(changes, 2, 'b'), 'not-accepted');
  assert.is(acceptedChangeOutcome(new Map(), 1, 'a'), 'not-accepted');
});

repeatedChanges(
  'of hundreds of changes and patches, eight at a time, each accepted one is acknowledged again by any control',
  async () => {
    const operators = await startOperators(61);
    const { cluster } = operators;
    const rng = seededRng(61);
    const randomControl = (): Machine | undefined => cluster.of('control')[Math.floor(rng() * 3)];
    const acceptedChanges: ConfigurationChange[] = [put(0, 1)];
    assert.is(await operators.status(put(0, 1)), 200);
    let version = 1;
    const refusedChanges: ConfigurationChange[] = [];
    const operator = async (operatorIndex: number): Promise<void> => {
      for (let round = 0; acceptedChanges.length < 520; round++) {
        const base = version;
        const next = base + 1 + ((operatorIndex + round) % 3);
        const change =
          round % 2 === 0
            ? put(base, next, `${operatorIndex} ${round}`)
            : patching(base, next, `x${operatorIndex}`);
        const status = (await operators.send(change, randomControl()))?.status;
        assert.ok(status === 200 || status === 412, `${status}`);
        if (status === 200) acceptedChanges.push(change);
        else refusedChanges.push(change);
        if (status === 200) version = Math.max(version, next);
        const resentChange = acceptedChanges[Math.floor(rng() * acceptedChanges.length)];
        if (round % 4 === 0)
          assert.is(
            (await operators.send(resentChange, randomControl()))?.status,
            200,
            'an accepted change that is resent',
          );
      }
    };
    await cluster.clock.finish(
      'operators',
      Promise.all(Array.from({ length: 8 }, (_, index) => operator(index))),
      300000,
    );
    assert.ok(
      acceptedChanges.length >= 520 && refusedChanges.length > 50,
      `${acceptedChanges.length} accepted, ${refusedChanges.length} refused`,
    );
    for (const [index, change] of acceptedChanges.entries())
      if (index % 5 === 0)
        assert.is(await operators.status(change, randomControl()), 200, `order ${index}`);
    for (const change of refusedChanges.slice(0, 40))
      assert.is(await operators.status(change, randomControl()), 412);
    cluster.master?.kill('power');
    await cluster.clock.until('a new master', () => cluster.master !== undefined, 20000);
    for (const change of [...acceptedChanges.slice(0, 5), ...acceptedChanges.slice(-5)])
      assert.is(await operators.status(change), 200);
    operators.check();
  },
);

repeatedChanges(
  'a patch whose base is superseded between its two steps is refused, or acknowledged if it was itself accepted',
  async () => {
    const operators = await startOperators(62);
    const { cluster } = operators;
    assert.is(await operators.status(put(0, 1)), 200);
    const node = cluster.master?.control;
    if (!node) throw new Error('the cluster has no master');
    const supersededPatch = patching(1, 3, 'r2');
    const adapterWithConcurrentChange = (beforePut: () => Promise<OperatorResponse | undefined>) =>
      new OperatorAdapter(async (request) => {
        if (request.method === 'PUT') await beforePut();
        return node.operate(request);
      });
    const competing = put(1, 3, 'rival');
    const supersededResult = adapterWithConcurrentChange(() => operators.send(competing)).change(
      'PATCH',
      '1',
      supersededPatch.body,
    );
    assert.is(
      (await cluster.clock.finish('superseded patch', supersededResult, 20000)).status,
      412,
    );
    const acceptedPatch = patching(3, 5, 'r3');
    const acceptedResult = adapterWithConcurrentChange(async () => {
      await operators.send(acceptedPatch);
      return operators.send(put(5, 8, 'later'));
    }).change('PATCH', '3', acceptedPatch.body);
    assert.is((await cluster.clock.finish('accepted patch', acceptedResult, 20000)).status, 200);
    assert.is(await operators.status(supersededPatch), 412);
    assert.is(cluster.committed?.config?.version, 8);
    operators.check();
  },
);

repeatedChanges(
  'concurrent copies of a change on different controls are all acknowledged, and made once',
  async () => {
    const operators = await startOperators(63);
    const { cluster } = operators;
    assert.is(await operators.status(put(0, 1)), 200);
    for (const change of [put(1, 2, 'a'), patching(2, 4, 'r2')]) {
      const both = Promise.all(
        cluster.of('control').map((machine) => operators.send(change, machine)),
      );
      assert.equal(
        (await cluster.clock.finish('both', both, 20000)).map((response) => response?.status),
        [200, 200, 200],
      );
      assert.is(cluster.committed?.config?.version, change.version);
    }
    operators.check();
  },
);

repeatedChanges(
  'of changes with the same version one is accepted, the others are refused whenever they are sent',
  async () => {
    for (const seed of [64, 65, 66]) {
      const operators = await startOperators(seed);
      const { cluster } = operators;
      assert.is(await operators.status(put(0, 1)), 200);
      const competingChanges = [put(1, 4, 'one'), put(1, 4, 'two'), patching(1, 4, 'r5')];
      const race = Promise.all(
        competingChanges.map((change, index) =>
          operators.send(change, cluster.of('control')[index]),
        ),
      );
      const statuses = (await cluster.clock.finish('race', race, 20000)).map(
        (response) => response?.status,
      );
      assert.equal([...statuses].sort(), [200, 412, 412]);
      for (const machine of cluster.of('control'))
        for (const [index, change] of competingChanges.entries())
          assert.is(await operators.status(change, machine), statuses[index]);
      operators.check();
    }
  },
);

/** Sends a change to a master that is isolated from its peers just after its publish was sent, or just before. */
const sendToIsolatedMaster = async (seed: number, reachesPeer: boolean) => {
  const operators = await startOperators(seed);
  const { cluster } = operators;
  assert.is(await operators.status(put(0, 1)), 200);
  const old = cluster.master;
  if (!old) throw new Error('the cluster has no master');
  const otherMachines = cluster.machines.filter((machine) => machine !== old);
  for (const machine of otherMachines) {
    cluster.net.cut(machine.addr, old.addr);
    if (!reachesPeer) cluster.net.cut(old.addr, machine.addr);
  }
  const lost = put(1, 3, 'lost');
  const unanswered = operators.send(lost, old);
  await cluster.clock.run(20);
  old.kill('power');
  cluster.net.healCuts();
  await cluster.clock.until(
    'a new master',
    () => cluster.master !== undefined && cluster.master !== old,
    20000,
  );
  void unanswered;
  return { d: operators, w: cluster, old, lost };
};

repeatedChanges(
  'a change that got no majority and is adopted by the next master is acknowledged when resent',
  async () => {
    const { d: operators, w: cluster, lost } = await sendToIsolatedMaster(67, true);
    assert.is(cluster.committed?.config?.version, 3, 'the next master adopted it');
    assert.is(await operators.status(lost), 200);
    assert.is(await operators.status(put(1, 3, 'rival')), 412);
    operators.check();
  },
);

repeatedChanges(
  'a change that got no majority, with another accepted under its version meanwhile, is refused when resent',
  async () => {
    const { d: operators, w: cluster, old, lost } = await sendToIsolatedMaster(68, false);
    assert.is(cluster.committed?.config?.version, 1);
    const competing = put(1, 3, 'rival');
    assert.is(await operators.status(competing), 200);
    assert.is(await operators.status(lost), 412);
    cluster.start([old]);
    await cluster.clock.run(5000);
    for (const machine of cluster.of('control')) {
      assert.is(await operators.status(lost, machine), 412);
      assert.is(await operators.status(competing, machine), 200);
    }
    operators.check();
  },
);

repeatedChanges(
  'an invalid change is rejected each time, also when its base is outdated',
  async () => {
    const operators = await startOperators(69);
    assert.is(await operators.status(put(0, 5)), 200);
    const invalid = [
      put(5, 5),
      put(5, 4),
      { ...put(5, 7), body: '{"edition":7}' },
      { ...patching(5, 7, 'r'), body: '{"edition":7,"remove":{"depots":["d1"]}}' },
      patching(5, 5, 'r'),
    ];
    for (const machine of operators.cluster.of('control'))
      for (const change of invalid) assert.is(await operators.status(change, machine), 400);
    assert.is(await operators.status(put(5, 9)), 200);
    for (const change of invalid)
      assert.ok([400, 412].includes(await operators.status(change)), change.body);
    operators.check();
  },
);

repeatedChanges.run();
