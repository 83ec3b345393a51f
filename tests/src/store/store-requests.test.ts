/** What a store answers to requests of other nodes, and what it hands on by itself. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Incarnation, SimClock, SimNet, SimDrive, seededRng } from '@tillerstair/sim';
import { bootstrapState, type Item, type Member, type Slot, type State } from '@tillerstair/state';
import { openStoreDisk, StoreNode } from '@tillerstair/store';
import { RpcError, silentLogger } from '@tillerstair/wire';
import { zenBounds } from '@tillerstair/zen';

const requests = suite('requests to a store');

const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
});

const member = (id: string, kind: Member['kind']): Member => ({
  id,
  kind,
  addr: id,
  http: '',
  zone: 'z',
  data: '',
  name: '',
});

const control = member('control-0', 'control');

const item = (key: string, seq: number): Item => ({ key, ownershipEpoch: 1, seq, value: seq });

const slotWith = (more: Partial<Slot>): Slot => ({
  owner: 'front-0',
  ownershipEpoch: 4,
  ownedSinceEpoch: 4,
  transferTarget: '',
  replicas: ['store-1', 'store-2', 'store-3'],
  joiningReplicas: [],
  replacedReplica: '',
  ...more,
});

/** Requests that other nodes got, as `ADDRESS KIND`; those that `refuses` names are refused. */
interface Rig {
  readonly clock: SimClock;
  readonly platter: SimDrive;
  readonly node: StoreNode;
  readonly got: string[];
  refuses: (call: string) => boolean;
  ask(kind: string, body: unknown): Promise<string>;
}

const acceptedVersion = { term: 1, version: 2 };

const stateWith = (slots: readonly Slot[], stores: readonly string[]): State => ({
  ...bootstrapState('cluster', [control], slots.length),
  ...acceptedVersion,
  master: control.id,
  slots,
  nodes: new Map([control, ...stores.map((id) => member(id, 'store'))].map((m) => [m.id, m])),
});

/** What a scripted peer answers: the control leads, the stores hold one item each. */
const answerOf = (id: string, kind: string, state: State): unknown => {
  switch (kind) {
    case 'store/pull':
      return { items: [item(`from-${id}`, 1)], next: '' };
    case 'zen/ping':
      return {
        from: control,
        eligible: true,
        canWin: true,
        master: control,
        term: 1,
        clusterId: 'cluster',
        joinedBefore: true,
        accepted: acceptedVersion,
        voters: state.voters,
        known: [],
      };
    case 'zen/join':
      return { term: 1 };
    case 'zen/master-ping':
      return { leading: true, listed: true, term: 1, committed: acceptedVersion, age: 0 };
    default:
      return {};
  }
};

/** Opens the disk of a store that voted for the control and accepted its state. */
const openDisk = async (clock: SimClock, platter: SimDrive, life: Incarnation, state: State) => {
  const disk = await clock.finish(
    'disk',
    openStoreDisk({
      disk: platter.disk(clock, life),
      clock,
      timings: { clock, syncTimeoutMs: 1500, retryIntervalMs: 250 },
      limits: { rewriteMinBytes: 1 << 30, retentionMs: 1e9, maxHints: 10 },
      freshId: () => 'store-0',
      rewriteMinBytes: 1 << 30,
    }),
    5000,
  );
  await clock.finish('vote', disk.electionStore.recordVote(1, control.id), 1000);
  await clock.finish('state', disk.electionStore.accept(state), 1000);
  return disk;
};

const refusesNothing = (): boolean => false;

/** A running store among scripted peers; the scripted master commits the state that `slots` make. */
const setUp = async (
  slots: readonly Slot[],
  stores: readonly string[],
  refuses: (call: string) => boolean = refusesNothing,
): Promise<Rig> => {
  const clock = new SimClock();
  const platter = new SimDrive(seededRng(1));
  const net = new SimNet(clock, seededRng(2));
  const life = new Incarnation();
  const state = stateWith(slots, stores);
  const disk = await openDisk(clock, platter, life, state);
  const node = new StoreNode({
    me: member('store-0', 'store'),
    seeds: [control.addr],
    clock,
    transport: net.transport('store-0', life),
    bounds,
    log: silentLogger,
    ...disk,
  });
  const ask = (kind: string, body: unknown): Promise<string> =>
    clock.finish(
      kind,
      node.handle({ from: control.addr, kind, body }).then(
        (response) => JSON.stringify(response),
        (e: unknown) => (e instanceof RpcError ? e.code : String(e)),
      ),
      10000,
    );
  const rig: Rig = { clock, platter, node, got: [], refuses, ask };
  for (const id of [control.id, ...stores.filter((s) => s !== 'store-0')]) {
    const answer = async (kind: string): Promise<unknown> => {
      const call = `${id} ${kind}`;
      if (!kind.startsWith('zen/')) rig.got.push(call);
      if (rig.refuses(call)) throw new RpcError('refused', call);
      return Promise.resolve(answerOf(id, kind, state));
    };
    net.serve(id, ({ kind }) => answer(kind), new Incarnation());
  }
  await clock.finish('start', node.start(), 1000);
  await clock.until('a master', () => node.zen.knownMaster !== undefined, 10000);
  const commit = { from: control, to: 'store-0', stateVersion: acceptedVersion };
  assert.is(await ask('zen/commit', commit), '{}');
  return rig;
};

const stop = (rig: Rig): Promise<void> => rig.clock.finish('stop', rig.node.stop(), 20000);

requests('a request of an unknown kind is refused', async () => {
  const rig = await setUp([slotWith({})], ['store-0']);
  assert.is(await rig.ask('store/none', {}), 'unknown-kind');
  await stop(rig);
});

requests(
  'a turn is looked for only where the store is a replica, and only once synced',
  async () => {
    const replica = slotWith({ replicas: ['store-0', 'store-1', 'store-2'] });
    const rig = await setUp([replica, slotWith({})], ['store-0', 'store-1', 'store-2']);
    assert.is(await rig.ask('store/find', { turn: 'a', slots: [0] }), '{"items":[]}');
    assert.is(await rig.ask('store/find', { turn: 'a', slots: [0, 1] }), 'moved');
    rig.platter.failSyncs = true;
    assert.is(await rig.ask('store/find', { turn: 'a', slots: [0] }), 'unavailable');
    rig.platter.failSyncs = false;
    await stop(rig);
  },
);

requests(
  'a joining replica says that it is filled once a quorum of replicas was pulled',
  async () => {
    const joining = slotWith({ joiningReplicas: ['store-0'], replacedReplica: 'store-3' });
    const rig = await setUp([joining], ['store-0', 'store-1', 'store-2', 'store-3']);
    await rig.clock.until('filled', () => rig.got.includes('control-0 control/filled'), 10000);
    assert.equal(
      rig.got.filter((call) => call.endsWith('pull')),
      ['store-1 store/pull', 'store-2 store/pull'],
    );
    await rig.ask('store/fence', { slot: 0, ownershipEpoch: 4 });
    assert.match(
      await rig.ask('store/pull', { slot: 0, ownershipEpoch: 4 }),
      /from-store-1.*from-store-2/,
    );
    await stop(rig);
  },
);

requests(
  'a joining replica that reaches too few replicas does not say that it is filled',
  async () => {
    const joining = slotWith({ joiningReplicas: ['store-0'], replacedReplica: 'store-3' });
    const rig = await setUp(
      [joining],
      ['store-0', 'store-1', 'store-2'],
      (call) => call === 'store-2 store/pull',
    );
    await rig.clock.run(5000);
    assert.ok(rig.got.includes('store-1 store/pull'));
    assert.ok(!rig.got.includes('control-0 control/filled'));
    await stop(rig);
  },
);

requests('a hint is handed over and then dropped, and kept while that fails', async () => {
  const slot = slotWith({ replicas: ['store-1', 'store-2', 'store-3'] });
  const rig = await setUp([slot], ['store-0', 'store-1']);
  rig.refuses = (call) => call === 'store-1 store/hand';
  for (const to of ['store-1', 'store-2', 'store-2', 'store-9'])
    assert.is(await rig.ask('store/hint', { to, slot: 0, items: [item('a', 1)] }), '{}');
  await rig.clock.run(3000);
  const hintsIn = (): string | undefined =>
    rig.node.nodeView().facts.find(([name]) => name === 'own hints')?.[1];
  assert.is(hintsIn(), '3', 'to a failing replica and to one that is unavailable');
  rig.refuses = () => false;
  await rig.clock.run(2000);
  assert.is(hintsIn(), '2', 'to a replica that is unavailable');
  await stop(rig);
});

requests(
  'only a slot that the state assigns to others, and that is not fenced later, is dropped',
  async () => {
    const replica = slotWith({ replicas: ['store-0', 'store-1', 'store-2'] });
    const slots = [slotWith({}), slotWith({}), replica, slotWith({ replicas: [] })];
    const rig = await setUp(slots, ['store-0', 'store-1']);
    const put = (slot: number, ownershipEpoch: number) =>
      rig.ask('store/put', { slot, ownershipEpoch, items: [item('a', 1)] });
    const written = [await put(0, 4), await put(1, 5), await put(2, 4), await put(3, 4)];
    assert.equal(written, ['{}', '{}', '{}', '{}']);
    await rig.clock.run(3000);
    const stillStored: number[] = [];
    for (const slot of slots.keys())
      if ((await rig.ask('store/pull', { slot, ownershipEpoch: 0 })).includes('"a"'))
        stillStored.push(slot);
    assert.equal(stillStored, [1, 2, 3]);
    await stop(rig);
  },
);

requests.run();
