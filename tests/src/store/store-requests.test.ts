/** Requests of other nodes to a store, and the refill, handoff and maintenance that it runs by itself. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Incarnation, SimClock, SimNet, SimDrive, seededRng } from '@tillerstair/sim';
import {
  bootstrapState,
  ItemPage,
  type Item,
  type Member,
  type Slot,
  type State,
} from '@tillerstair/state';
import { openStoreDisk, StoreNode } from '@tillerstair/store';
import { RpcError, silentLogger } from '@tillerstair/wire';
import { zenBounds } from '@tillerstair/zen';

const requests = suite('requests to a store');

/** Time of a sync of a disk, and time for which a returned store counts as lost, of one of the deployments, in ms. */
const syncMs = 2;
const catchUpMs = 4800;

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

const slotWith = (changes: Partial<Slot>): Slot => ({
  owner: 'front-0',
  ownershipEpoch: 4,
  ownedSinceEpoch: 4,
  transferTarget: '',
  replicas: ['store-1', 'store-2', 'store-3'],
  joiningReplicas: [],
  replacedReplica: '',
  ...changes,
});

/**
 * A store with scripted peers. `received` lists their requests as `ADDRESS KIND`; `rejects` selects those that fail.
 */
interface StoreFixture {
  readonly clock: SimClock;
  readonly drive: SimDrive;
  readonly node: StoreNode;
  readonly received: string[];
  rejects: (call: string) => boolean;
  ask(kind: string, body: unknown): Promise<string>;
}

const acceptedVersion = { term: 1, version: 2 };

const stateWith = (slots: readonly Slot[], stores: readonly string[]): State => ({
  ...bootstrapState('cluster', [control], slots.length),
  ...acceptedVersion,
  master: control.id,
  slots,
  nodes: new Map(
    [control, ...stores.map((id) => member(id, 'store'))].map((node) => [node.id, node]),
  ),
});

/** The response of a scripted peer: the control is the master, each store holds one item. */
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

/** Opens the disk of a store that voted for the control and accepted its cluster state. */
const openDisk = async (
  clock: SimClock,
  drive: SimDrive,
  incarnation: Incarnation,
  state: State,
) => {
  const disk = await clock.finish(
    'disk',
    openStoreDisk({
      disk: drive.disk(clock, incarnation),
      clock,
      timings: { clock, syncTimeoutMs: 1500, retryIntervalMs: 250 },
      limits: { rewriteMinBytes: 1 << 30, retentionMs: 1e9, maxHints: 2000 },
      freshId: () => 'store-0',
      rewriteMinBytes: 1 << 30,
    }),
    5000,
  );
  await clock.finish('vote', disk.electionStore.recordVote(1, control.id), 1000);
  await clock.finish('state', disk.electionStore.accept(state), 1000);
  return disk;
};

const rejectsNothing = (): boolean => false;

/** Starts a store among scripted peers, then lets their master commit a state with these slots to it. */
const startStore = async (
  slots: readonly Slot[],
  stores: readonly string[],
  rejects: (call: string) => boolean = rejectsNothing,
): Promise<StoreFixture> => {
  const clock = new SimClock();
  const drive = new SimDrive(seededRng(1));
  const net = new SimNet(clock, seededRng(2));
  const incarnation = new Incarnation();
  const state = stateWith(slots, stores);
  const disk = await openDisk(clock, drive, incarnation, state);
  const node = new StoreNode({
    localMember: member('store-0', 'store'),
    seeds: [control.addr],
    clock,
    transport: net.transport('store-0', incarnation),
    bounds,
    log: silentLogger,
    ...disk,
  });
  const ask = (kind: string, body: unknown): Promise<string> =>
    clock.finish(
      kind,
      node.handle({ from: control.addr, kind, body }).then(
        (response) => JSON.stringify(response),
        (error: unknown) => (error instanceof RpcError ? error.code : String(error)),
      ),
      10000,
    );
  const fixture: StoreFixture = { clock, drive, node, received: [], rejects, ask };
  for (const id of [control.id, ...stores.filter((store) => store !== 'store-0')]) {
    const answer = async (kind: string): Promise<unknown> => {
      const call = `${id} ${kind}`;
      if (!kind.startsWith('zen/')) fixture.received.push(call);
      if (fixture.rejects(call)) throw new RpcError('refused', call);
      return Promise.resolve(answerOf(id, kind, state));
    };
    net.serve(id, ({ kind }) => answer(kind), new Incarnation());
  }
  await clock.finish('start', node.start(), 1000);
  await clock.until('a master', () => node.zen.knownMaster !== undefined, 10000);
  const commit = { from: control, to: 'store-0', stateVersion: acceptedVersion };
  assert.is(await ask('zen/commit', commit), '{}');
  return fixture;
};

const stop = (fixture: StoreFixture): Promise<void> =>
  fixture.clock.finish('stop', fixture.node.stop(), 20000);

requests('a request of an unknown kind is rejected', async () => {
  const fixture = await startStore([slotWith({})], ['store-0']);
  assert.is(await fixture.ask('store/none', {}), 'unknown-kind');
  await stop(fixture);
});

// Guards against an empty store that counts for the one that had its address: writes and turns would be lost (LOST).
requests('a request for the store that had this address before is rejected', async () => {
  const replica = slotWith({ replicas: ['store-0', 'store-1', 'store-2'] });
  const fixture = await startStore([replica], ['store-0', 'store-1', 'store-2']);
  const at = { slot: 0, ownershipEpoch: 5 };
  const bodies: readonly (readonly [string, object])[] = [
    ['store/put', { ...at, items: [item('a', 1)] }],
    ['store/fence', at],
    ['store/read', { ...at, key: 'a' }],
    ['store/pull', { ...at, ownershipEpoch: 0 }],
    ['store/find', { turn: 'a', slots: [0] }],
    ['store/hint', { to: 'store-1', slot: 0, items: [item('a', 1)] }],
    ['store/hand', { slot: 0, items: [item('a', 1)] }],
  ];
  for (const [kind, body] of bodies)
    assert.is(await fixture.ask(kind, { ...body, store: 'store-before' }), 'away', kind);
  assert.is(await fixture.ask('store/find', { turn: 'a', slots: [0] }), '{"items":[]}');
  for (const [kind, body] of bodies)
    assert.is.not(await fixture.ask(kind, { ...body, store: 'store-0' }), 'away', kind);
  await stop(fixture);
});

requests(
  'a turn is looked up only in slots that the store replicates, and only once they are synced',
  async () => {
    const replica = slotWith({ replicas: ['store-0', 'store-1', 'store-2'] });
    const fixture = await startStore([replica, slotWith({})], ['store-0', 'store-1', 'store-2']);
    assert.is(await fixture.ask('store/find', { turn: 'a', slots: [0] }), '{"items":[]}');
    assert.is(await fixture.ask('store/find', { turn: 'a', slots: [0, 1] }), 'moved');
    fixture.drive.failSyncs = true;
    assert.is(await fixture.ask('store/find', { turn: 'a', slots: [0] }), 'unavailable');
    fixture.drive.failSyncs = false;
    await stop(fixture);
  },
);

requests(
  'a joining replica reports itself as filled once it has pulled from a quorum of replicas',
  async () => {
    const joining = slotWith({ joiningReplicas: ['store-0'], replacedReplica: 'store-3' });
    const fixture = await startStore([joining], ['store-0', 'store-1', 'store-2', 'store-3']);
    await fixture.clock.until(
      'the replica to be reported as filled',
      () => fixture.received.includes('control-0 control/filled'),
      10000,
    );
    assert.equal(fixture.received.filter((call) => call.endsWith('pull')).sort(), [
      'store-1 store/pull',
      'store-2 store/pull',
    ]);
    await fixture.ask('store/fence', { slot: 0, ownershipEpoch: 4 });
    const page = ItemPage.parse(
      JSON.parse(await fixture.ask('store/pull', { slot: 0, ownershipEpoch: 4 })),
    );
    assert.equal(page.items.map(({ key }) => key).sort(), ['from-store-1', 'from-store-2']);
    await stop(fixture);
  },
);

requests(
  'a joining replica that reaches fewer replicas than a quorum does not report itself as filled',
  async () => {
    const joining = slotWith({ joiningReplicas: ['store-0'], replacedReplica: 'store-3' });
    const fixture = await startStore(
      [joining],
      ['store-0', 'store-1', 'store-2'],
      (call) => call === 'store-2 store/pull',
    );
    await fixture.clock.run(5000);
    assert.ok(fixture.received.includes('store-1 store/pull'));
    assert.ok(!fixture.received.includes('control-0 control/filled'));
    await stop(fixture);
  },
);

requests('a hint is dropped after its handoff, and kept while the handoff fails', async () => {
  const slot = slotWith({ replicas: ['store-1', 'store-2', 'store-3'] });
  const fixture = await startStore([slot], ['store-0', 'store-1']);
  fixture.rejects = (call) => call === 'store-1 store/hand';
  for (const to of ['store-1', 'store-2', 'store-2', 'store-9'])
    assert.is(await fixture.ask('store/hint', { to, slot: 0, items: [item('a', 1)] }), '{}');
  await fixture.clock.run(3000);
  const hintCount = (): string | undefined =>
    fixture.node.nodeView().facts.find(([name]) => name === 'own hints')?.[1];
  assert.is(hintCount(), '3', 'hints for a failing replica and for one that is unavailable');
  fixture.rejects = () => false;
  await fixture.clock.run(2000);
  assert.is(hintCount(), '2', 'hints for a replica that is unavailable');
  await stop(fixture);
});

// Guards against a hand-off whose pace does not know the number of hints: the store would miss writes after catchUpS.
requests('two thousand hints are handed off while the returned store counts as lost', async () => {
  const slot = slotWith({ replicas: ['store-0', 'store-1', 'store-2'] });
  const fixture = await startStore([slot], ['store-0', 'store-1', 'store-2']);
  fixture.rejects = (call) => call === 'store-1 store/hand';
  const hints = 2000;
  for (let n = 0; n < hints; n++)
    assert.is(
      await fixture.ask('store/hint', { to: 'store-1', slot: 0, items: [item(`a${n}`, 1)] }),
      '{}',
    );
  fixture.drive.delay = syncMs;
  fixture.rejects = () => false;
  await fixture.clock.run(catchUpMs);
  const hintCount = fixture.node.nodeView().facts.find(([name]) => name === 'own hints')?.[1];
  assert.is(hintCount, '0');
  await stop(fixture);
});

requests(
  'a slot is dropped only if the state assigns it to other stores and it has no later fence',
  async () => {
    const replica = slotWith({ replicas: ['store-0', 'store-1', 'store-2'] });
    const slots = [slotWith({}), slotWith({}), replica, slotWith({ replicas: [] })];
    const fixture = await startStore(slots, ['store-0', 'store-1']);
    const putItem = (slot: number, ownershipEpoch: number) =>
      fixture.ask('store/put', { slot, ownershipEpoch, items: [item('a', 1)] });
    const responses = [
      await putItem(0, 4),
      await putItem(1, 5),
      await putItem(2, 4),
      await putItem(3, 4),
    ];
    assert.equal(responses, ['{}', '{}', '{}', '{}']);
    await fixture.clock.run(3000);
    const stillStored: number[] = [];
    for (const slot of slots.keys())
      if ((await fixture.ask('store/pull', { slot, ownershipEpoch: 0 })).includes('"a"'))
        stillStored.push(slot);
    assert.equal(stillStored, [1, 2, 3]);
    await stop(fixture);
  },
);

requests.run();
