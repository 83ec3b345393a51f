/** Election, fencing of earlier terms and bootstrapping, each component without a network. */
import { deflateSync } from 'node:zlib';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  diffStates,
  encodeState,
  bootstrapState,
  applyDiff,
  reduceState,
  decodeState,
  type Member,
  type State,
} from '@tillerstair/state';
import { Incarnation, seededRng, SimClock, SimDrive } from '@tillerstair/sim';
import {
  closureOf,
  DiskElectionStore,
  elect,
  MemoryElectionStore,
  PublishReceiver,
  type PingResponse,
} from '@tillerstair/zen';

const fencing = suite('election, fencing and bootstrapping');

const member = (id: string, kind: Member['kind'] = 'control'): Member => ({
  id,
  kind,
  addr: `${id}:1`,
  http: '',
  zone: 'a',
  data: '',
  name: '',
});
const [a, b, c] = [member('a'), member('b'), member('c')];
const base = bootstrapState('x', [a, b, c], 8);
const stateAt = (term: number, version: number, master = 'a'): State => ({
  ...base,
  term,
  version,
  master,
});

const publish = (from: Member, state: State) => ({
  from,
  term: state.term,
  clusterId: state.clusterId,
  packed: deflateSync(JSON.stringify({ full: [...encodeState(state)] })).toString('base64'),
});

const createReceiver = () => {
  const electionStore = new MemoryElectionStore('me');
  const applied: State[] = [];
  const receiver = new PublishReceiver({
    electionStore,
    onApplied: (state) => {
      applied.push(state);
      return Promise.resolve();
    },
    isMaster: () => true,
    onTerm: () => undefined,
    onPublished: () => undefined,
  });
  return { electionStore, applied, receiver };
};

const outcomeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'taken',
    (e: unknown) => (e instanceof Error && 'code' in e ? String(e.code) : String(e)),
  );

fencing('a node that voted in a later term rejects publishes of the old master', async () => {
  const { electionStore, receiver } = createReceiver();
  assert.is(await outcomeOf(receiver.onPublish(publish(a, stateAt(3, 5)))), 'taken');
  await electionStore.recordVote(4, 'b');
  assert.is(await outcomeOf(receiver.onPublish(publish(a, stateAt(3, 6)))), 'stale-term');
  assert.is(await outcomeOf(receiver.onPublish(publish(c, stateAt(4, 6, 'c')))), 'stale-term');
  assert.is(await outcomeOf(receiver.onPublish(publish(b, stateAt(4, 6, 'b')))), 'taken');
});

fencing('a state is applied only once committed, and no older state after it', async () => {
  const { applied, receiver } = createReceiver();
  await receiver.onPublish(publish(a, stateAt(3, 5)));
  assert.is(applied.length, 0);
  await receiver.onCommit({ term: 3, version: 5 });
  await receiver.onCommit({ term: 3, version: 5 });
  assert.is(applied.length, 1);
  assert.is(await outcomeOf(receiver.onPublish(publish(a, stateAt(3, 4)))), 'stale-state');
  assert.is(await outcomeOf(receiver.onCommit({ term: 3, version: 9 })), 'not-held');
});

fencing(
  'acknowledged votes, bootstrap votes and states survive an immediate power loss',
  async () => {
    const clock = new SimClock();
    const drive = new SimDrive(seededRng(5));
    const open = () =>
      clock.finish(
        'open',
        DiskElectionStore.open(drive.disk(clock, new Incarnation()), () => 'me', 1 << 20),
        1000,
      );
    const finishThenLosePower = async <T>(work: Promise<T>): Promise<void> => {
      await clock.finish('work', work, 1000);
      drive.powerLoss();
    };
    await finishThenLosePower((await open()).recordBootstrapVote([a, b]));
    await finishThenLosePower((await open()).recordVote(4, 'b'));
    const { persisted } = await open();
    assert.equal(
      [persisted.id, persisted.bootstrapVote.length, persisted.term, persisted.votedFor],
      ['me', 2, 4, 'b'],
    );
    const electionStore = await open();
    const receiver = new PublishReceiver({
      electionStore,
      onApplied: () => Promise.resolve(),
      isMaster: () => true,
      onTerm: () => undefined,
      onPublished: () => undefined,
    });
    await finishThenLosePower(receiver.onPublish(publish(b, stateAt(4, 6, 'b'))));
    const accepted = (await open()).persisted.accepted;
    assert.equal([accepted?.term, accepted?.version], [4, 6]);
  },
);

fencing('a state of another cluster is refused', async () => {
  const { receiver } = createReceiver();
  await receiver.onPublish(publish(a, stateAt(1, 2)));
  assert.is(
    await outcomeOf(receiver.onPublish(publish(a, { ...stateAt(2, 3), clusterId: 'y' }))),
    'other-cluster',
  );
});

fencing('a diff yields its target state from its base state, and applies to no other base', () => {
  const before = stateAt(1, 2);
  const after = {
    ...reduceState(reduceState(before, { kind: 'join', member: b }), {
      kind: 'server',
      server: { id: 's', pool: 'p', url: 'u', draining: false, down: false, zone: '', places: 0 },
    }),
    version: 3,
  };
  const restored = applyDiff(before, diffStates(before, after));
  assert.equal(restored && [...encodeState(restored)].sort(), [...encodeState(after)].sort());
  assert.is(applyDiff(stateAt(1, 1), diffStates(before, after)), undefined);
  assert.equal(encodeState(decodeState(encodeState(after))), encodeState(after));
});

const pingResponse = (from: Member, overrides: Partial<PingResponse> = {}): PingResponse => ({
  from,
  eligible: from.kind === 'control',
  canWin: from.kind === 'control',
  term: 1,
  clusterId: 'x',
  joinedBefore: false,
  accepted: { term: 0, version: 1 },
  voters: base.voters,
  known: [],
  ...overrides,
});
const self = {
  member: b,
  canWin: true,
  joinedBefore: false,
  accepted: { term: 0, version: 1 },
  voters: base.voters,
};

fencing(
  'election: reported masters first, then former members, then all, the last two with a majority',
  () => {
    assert.equal(elect(self, [pingResponse(a, { master: c }), pingResponse(c)]), {
      kind: 'master',
      member: c,
      by: 'reported',
    });
    assert.equal(elect(self, [pingResponse(a), pingResponse(c, { joinedBefore: true })]), {
      kind: 'master',
      member: c,
      by: 'former',
    });
    assert.equal(elect(self, [pingResponse(a), pingResponse(c)]), {
      kind: 'master',
      member: a,
      by: 'active',
    });
    assert.is(elect(self, []).kind, 'none');
    assert.is(
      elect(self, [
        pingResponse(member('d')),
        pingResponse(member('e')),
        pingResponse(member('s', 'store')),
      ]).kind,
      'none',
    );
    assert.equal(elect(self, [pingResponse(a, { master: member('gone') }), pingResponse(c)]), {
      kind: 'master',
      member: a,
      by: 'active',
    });
  },
);

fencing(
  'a control that cannot sync counts for no majority, by itself or by its reply, and is not chosen',
  () => {
    const unwritable = { ...self, canWin: false, writable: false };
    assert.is(elect(unwritable, [pingResponse(a)]).kind, 'none');
    assert.equal(elect(unwritable, [pingResponse(a), pingResponse(c)]), {
      kind: 'master',
      member: a,
      by: 'active',
    });
    const unwritableReply = { eligible: false, canWin: false };
    assert.is(elect(self, [pingResponse(a, unwritableReply)]).kind, 'none');
    assert.equal(elect(self, [pingResponse(a, unwritableReply), pingResponse(c)]), {
      kind: 'master',
      member: b,
      by: 'active',
    });
  },
);

fencing(
  'bootstrapping requires replies of all seeds and known controls, none of them in a cluster',
  () => {
    const blank = (from: Member, overrides: Partial<PingResponse> = {}) =>
      pingResponse(from, { clusterId: '', canWin: false, ...overrides });
    const view = { localMember: a, seeds: [a.addr, b.addr, c.addr], knownMembers: [] };
    assert.is(closureOf({ ...view, pingResponses: [blank(b), blank(c)] }).members.length, 3);
    assert.is(closureOf({ ...view, pingResponses: [blank(b)] }).members.length, 0);
    assert.is(
      closureOf({ ...view, pingResponses: [blank(b), blank(c, { clusterId: 'x' })] }).members
        .length,
      0,
    );
    assert.is(
      closureOf({ ...view, pingResponses: [blank(b, { known: [member('d')] }), blank(c)] }).members
        .length,
      0,
    );
    assert.is(
      closureOf({ ...view, knownMembers: [member('e')], pingResponses: [blank(b), blank(c)] })
        .members.length,
      0,
    );
  },
);

fencing.run();
