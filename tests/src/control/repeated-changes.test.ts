import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { configHistory, type ConfigAnswer } from '@tillerstair/checker';
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

const repeatedChanges = suite('changes that are sent again');

const platformRoute = (name: string, more: object = {}) => ({
  name,
  host: 'a.example',
  pathPrefix: `/${name}/`,
  wayKind: 'repeatable',
  deadlineMs: 4000,
  depot: 'd1',
  ...more,
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

const answerOf = (o: OperatorResponse | undefined): ConfigAnswer => {
  if (o?.status === 200) return { kind: 'accepted' };
  if (o?.status === 412) return { kind: 'refused' };
  return o?.status === 503 || o?.status === 400 ? { kind: 'no-effect' } : { kind: 'unclear' };
};

/** Operators, one at each control, with a record of their calls. */
class Operators {
  readonly calls: ConfigCalls;

  constructor(readonly w: World) {
    this.calls = new ConfigCalls(w.clock);
  }

  send(
    o: ConfigurationChange,
    at: Machine | undefined = this.w.master,
  ): Promise<OperatorResponse | undefined> {
    const node = at?.control;
    const what = {
      kind: 'change' as const,
      changeId: `${o.method} ${o.base} ${o.body}`,
      base: o.base,
      version: o.version,
      content: undefined,
    };
    const desk = new OperatorAdapter(
      async (x: OperatorRequest) => (await node?.operate(x)) ?? { status: 504, body: null },
    );
    return this.calls.record(what, () => desk.change(o.method, String(o.base), o.body), answerOf);
  }

  async status(o: ConfigurationChange, at?: Machine): Promise<number> {
    return (
      (await this.w.clock.finish(`${o.method} ${o.version}`, this.send(o, at), 30000))?.status ?? 0
    );
  }

  check(): void {
    assert.equal(configHistory(this.calls.calls).breaches, []);
  }
}

const startOperators = async (seed: number): Promise<Operators> => {
  const w = new World(seed, { ...small, stores: 1, fronts: 0 });
  w.start();
  await w.clock.until('a master', () => w.master !== undefined, 12000);
  await w.clock.until('all nodes', () => w.committed?.nodes.size === 4, 12000);
  return new Operators(w);
};

const recordOf = (version: number) => ({
  version,
  text: '',
  digest: `d${version}`,
  compiled: '',
  changeId: `order ${version}`,
});

repeatedChanges(
  'the record of accepted changes is bounded, exact within its bound, and in doubt beyond',
  () => {
    const count = minimumRememberedChanges + 500;
    let s: State = bootstrapState('x', [], 8);
    let most = 0;
    for (let v = 1; v <= count; v++) {
      const next = reduceState(s, { kind: 'config', record: recordOf(v * 3) });
      if (v % 100 === 0)
        most = Math.max(
          most,
          JSON.stringify(diffStates(s, next).set.filter(([k]) => k.startsWith('taken/'))).length,
        );
      s = next;
    }
    assert.ok(most < 1000, `${most} bytes of a diff`);
    const bytes = [...encodeState(s)]
      .filter(([k]) => k.startsWith('taken/'))
      .reduce((n, [k, v]) => n + k.length + v.length, 0);
    assert.ok(bytes < 50000, `${bytes} bytes in all`);
    const back = decodeState(encodeState(s));
    assert.equal(back.acceptedChanges, s.acceptedChanges);
    for (let v = 1; v <= count; v++) {
      const outcome = acceptedChangeOutcome(back.acceptedChanges, v * 3, `order ${v * 3}`);
      assert.is.not(outcome, 'not-accepted', `version ${v * 3}`);
      if (v > count - minimumRememberedChanges) assert.is(outcome, 'accepted', `version ${v * 3}`);
    }
    assert.is(acceptedChangeOutcome(back.acceptedChanges, 3, 'order 3'), 'forgotten');
    assert.is(acceptedChangeOutcome(back.acceptedChanges, count * 3, 'another'), 'not-accepted');
    assert.is(
      acceptedChangeOutcome(back.acceptedChanges, count * 3 + 1, `order ${count * 3}`),
      'not-accepted',
    );
  },
);

repeatedChanges('a version that begins or ends as another is told apart', () => {
  const taken: AcceptedChanges = recordAcceptedChange(
    recordAcceptedChange(new Map(), 1, 'a'),
    21,
    'b',
  );
  assert.is(acceptedChangeOutcome(taken, 1, 'a'), 'accepted');
  assert.is(acceptedChangeOutcome(taken, 1, 'b'), 'not-accepted');
  assert.is(acceptedChangeOutcome(taken, 2, 'b'), 'not-accepted');
  assert.is(acceptedChangeOutcome(new Map(), 1, 'a'), 'not-accepted');
});

repeatedChanges(
  'hundreds of changes, eight under way, patches among them: each accepted one is acknowledged again by any control',
  async () => {
    const d = await startOperators(61);
    const { w } = d;
    const rng = seededRng(61);
    const anyControl = (): Machine | undefined => w.of('control')[Math.floor(rng() * 3)];
    const taken: ConfigurationChange[] = [put(0, 1)];
    assert.is(await d.status(put(0, 1)), 200);
    let version = 1;
    const lost: ConfigurationChange[] = [];
    const operator = async (n: number): Promise<void> => {
      for (let k = 0; taken.length < 520; k++) {
        const base = version;
        const next = base + 1 + ((n + k) % 3);
        const o = k % 2 === 0 ? put(base, next, `${n} ${k}`) : patching(base, next, `x${n}`);
        const status = (await d.send(o, anyControl()))?.status;
        assert.ok(status === 200 || status === 412, `${status}`);
        if (status === 200) taken.push(o);
        else lost.push(o);
        if (status === 200) version = Math.max(version, next);
        const again = taken[Math.floor(rng() * taken.length)];
        if (k % 4 === 0)
          assert.is(
            (await d.send(again, anyControl()))?.status,
            200,
            'an accepted change sent again',
          );
      }
    };
    await w.clock.finish(
      'operators',
      Promise.all(Array.from({ length: 8 }, (_, n) => operator(n))),
      300000,
    );
    assert.ok(
      taken.length >= 520 && lost.length > 50,
      `${taken.length} taken, ${lost.length} lost`,
    );
    for (const [n, o] of taken.entries())
      if (n % 5 === 0) assert.is(await d.status(o, anyControl()), 200, `order ${n}`);
    for (const o of lost.slice(0, 40)) assert.is(await d.status(o, anyControl()), 412);
    w.master?.kill('power');
    await w.clock.until('a new master', () => w.master !== undefined, 20000);
    for (const o of [...taken.slice(0, 5), ...taken.slice(-5)]) assert.is(await d.status(o), 200);
    d.check();
  },
);

repeatedChanges(
  'a patch whose base passes between its two steps is refused, or acknowledged if it was the one that won',
  async () => {
    const d = await startOperators(62);
    const { w } = d;
    assert.is(await d.status(put(0, 1)), 200);
    const node = w.master?.control;
    if (!node) throw new Error('no master');
    const patched = patching(1, 3, 'r2');
    const midway = (between: () => Promise<OperatorResponse | undefined>) =>
      new OperatorAdapter(async (o) => {
        if (o.method === 'PUT') await between();
        return node.operate(o);
      });
    const rival = put(1, 3, 'rival');
    const overtaken = midway(() => d.send(rival)).change('PATCH', '1', patched.body);
    assert.is((await w.clock.finish('overtaken', overtaken, 20000)).status, 412);
    const second = patching(3, 5, 'r3');
    const overtakenByItself = midway(async () => {
      await d.send(second);
      return d.send(put(5, 8, 'later'));
    }).change('PATCH', '3', second.body);
    assert.is((await w.clock.finish('its own', overtakenByItself, 20000)).status, 200);
    assert.is(await d.status(patched), 412);
    assert.is(w.committed?.config?.version, 8);
    d.check();
  },
);

repeatedChanges(
  'two resends at once on different controls are both acknowledged, and change once',
  async () => {
    const d = await startOperators(63);
    const { w } = d;
    assert.is(await d.status(put(0, 1)), 200);
    for (const o of [put(1, 2, 'a'), patching(2, 4, 'r2')]) {
      const both = Promise.all(w.of('control').map((at) => d.send(o, at)));
      assert.equal(
        (await w.clock.finish('both', both, 20000)).map((x) => x?.status),
        [200, 200, 200],
      );
      assert.is(w.committed?.config?.version, o.version);
    }
    d.check();
  },
);

repeatedChanges(
  'the same number for two changes: one is confirmed, the other is refused whenever it is sent',
  async () => {
    for (const seed of [64, 65, 66]) {
      const d = await startOperators(seed);
      const { w } = d;
      assert.is(await d.status(put(0, 1)), 200);
      const rivals = [put(1, 4, 'one'), put(1, 4, 'two'), patching(1, 4, 'r5')];
      const race = Promise.all(rivals.map((o, n) => d.send(o, w.of('control')[n])));
      const got = (await w.clock.finish('race', race, 20000)).map((o) => o?.status);
      assert.equal([...got].sort(), [200, 412, 412]);
      for (const at of w.of('control'))
        for (const [n, o] of rivals.entries()) assert.is(await d.status(o, at), got[n]);
      d.check();
    }
  },
);

/** Sends a change to a master that is cut off from its peers just after its publish left it, or just before. */
const sendToIsolatedMaster = async (seed: number, reachesPeer: boolean) => {
  const d = await startOperators(seed);
  const { w } = d;
  assert.is(await d.status(put(0, 1)), 200);
  const old = w.master;
  if (!old) throw new Error('no master');
  const others = w.machines.filter((m) => m !== old);
  for (const m of others) {
    w.net.cut(m.addr, old.addr);
    if (!reachesPeer) w.net.cut(old.addr, m.addr);
  }
  const lost = put(1, 3, 'lost');
  const first = d.send(lost, old);
  await w.clock.run(20);
  old.kill('power');
  w.net.healCuts();
  await w.clock.until('another master', () => w.master !== undefined && w.master !== old, 20000);
  void first;
  return { d, w, old, lost };
};

repeatedChanges(
  'a change that got no majority and is adopted by the next master is acknowledged when sent again',
  async () => {
    const { d, w, lost } = await sendToIsolatedMaster(67, true);
    assert.is(w.committed?.config?.version, 3, 'the next master adopted it');
    assert.is(await d.status(lost), 200);
    assert.is(await d.status(put(1, 3, 'rival')), 412);
    d.check();
  },
);

repeatedChanges(
  'a change that got no majority, with another accepted under its number meanwhile, is refused when sent again',
  async () => {
    const { d, w, old, lost } = await sendToIsolatedMaster(68, false);
    assert.is(w.committed?.config?.version, 1);
    const rival = put(1, 3, 'rival');
    assert.is(await d.status(rival), 200);
    assert.is(await d.status(lost), 412);
    w.start([old]);
    await w.clock.run(5000);
    for (const at of w.of('control')) {
      assert.is(await d.status(lost, at), 412);
      assert.is(await d.status(rival, at), 200);
    }
    d.check();
  },
);

repeatedChanges(
  'an invalid change is rejected each time, also where its base has passed',
  async () => {
    const d = await startOperators(69);
    assert.is(await d.status(put(0, 5)), 200);
    const invalid = [
      put(5, 5),
      put(5, 4),
      { ...put(5, 7), body: '{"edition":7}' },
      { ...patching(5, 7, 'r'), body: '{"edition":7,"remove":{"depots":["d1"]}}' },
      patching(5, 5, 'r'),
    ];
    for (const at of d.w.of('control'))
      for (const o of invalid) assert.is(await d.status(o, at), 400);
    assert.is(await d.status(put(5, 9)), 200);
    for (const o of invalid) assert.ok([400, 412].includes(await d.status(o)), o.body);
    d.check();
  },
);

repeatedChanges.run();
