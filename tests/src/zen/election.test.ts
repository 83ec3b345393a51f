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

const fence = suite('election, fence and bootstrapping, piece by piece');

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
const at = (term: number, version: number, master = 'a'): State => ({
  ...base,
  term,
  version,
  master,
});

const publish = (from: Member, s: State) => ({
  from,
  term: s.term,
  clusterId: s.clusterId,
  packed: deflateSync(JSON.stringify({ full: [...encodeState(s)] })).toString('base64'),
});

const receiver = () => {
  const electionStore = new MemoryElectionStore('me');
  const applied: State[] = [];
  const r = new PublishReceiver({
    electionStore,
    onApplied: (s) => {
      applied.push(s);
      return Promise.resolve();
    },
    isMaster: () => true,
    onTerm: () => undefined,
    onPublished: () => undefined,
  });
  return { electionStore, applied, r };
};

const code = (p: Promise<unknown>): Promise<string> =>
  p.then(
    () => 'taken',
    (e: unknown) => (e instanceof Error && 'code' in e ? String(e.code) : String(e)),
  );

fence('a node that voted in a later term refuses the old master, state or no state', async () => {
  const { electionStore, r } = receiver();
  assert.is(await code(r.onPublish(publish(a, at(3, 5)))), 'taken');
  await electionStore.recordVote(4, 'b');
  assert.is(await code(r.onPublish(publish(a, at(3, 6)))), 'stale-term');
  assert.is(await code(r.onPublish(publish(c, at(4, 6, 'c')))), 'stale-term');
  assert.is(await code(r.onPublish(publish(b, at(4, 6, 'b')))), 'taken');
});

fence('a state is applied only when committed, and nothing older after it', async () => {
  const { applied, r } = receiver();
  await r.onPublish(publish(a, at(3, 5)));
  assert.is(applied.length, 0);
  await r.onCommit({ term: 3, version: 5 });
  await r.onCommit({ term: 3, version: 5 });
  assert.is(applied.length, 1);
  assert.is(await code(r.onPublish(publish(a, at(3, 4)))), 'stale-state');
  assert.is(await code(r.onCommit({ term: 3, version: 9 })), 'not-held');
});

fence(
  'votes, bootstrap votes and states a node spoke of stand after power loss at once',
  async () => {
    const clock = new SimClock();
    const platter = new SimDrive(seededRng(5));
    const open = () =>
      clock.finish(
        'open',
        DiskElectionStore.open(platter.disk(clock, new Incarnation()), () => 'me', 1 << 20),
        1000,
      );
    const lose = async <T>(work: Promise<T>): Promise<void> => {
      await clock.finish('work', work, 1000);
      platter.powerLoss();
    };
    await lose((await open()).recordBootstrapVote([a, b]));
    await lose((await open()).recordVote(4, 'b'));
    const { persisted } = await open();
    assert.equal(
      [persisted.id, persisted.bootstrapVote.length, persisted.term, persisted.votedFor],
      ['me', 2, 4, 'b'],
    );
    const electionStore = await open();
    const r = new PublishReceiver({
      electionStore,
      onApplied: () => Promise.resolve(),
      isMaster: () => true,
      onTerm: () => undefined,
      onPublished: () => undefined,
    });
    await lose(r.onPublish(publish(b, at(4, 6, 'b'))));
    const after = (await open()).persisted.accepted;
    assert.equal([after?.term, after?.version], [4, 6]);
  },
);

fence("another cluster's state is refused", async () => {
  const { r } = receiver();
  await r.onPublish(publish(a, at(1, 2)));
  assert.is(await code(r.onPublish(publish(a, { ...at(2, 3), clusterId: 'y' }))), 'other-cluster');
});

fence('a diff gives the state it was made from, and fits no other', () => {
  const one = at(1, 2);
  const two = {
    ...reduceState(reduceState(one, { kind: 'join', member: b }), {
      kind: 'server',
      server: { id: 's', pool: 'p', url: 'u', draining: false, down: false, zone: '', places: 0 },
    }),
    version: 3,
  };
  const back = applyDiff(one, diffStates(one, two));
  assert.equal(back && [...encodeState(back)].sort(), [...encodeState(two)].sort());
  assert.is(applyDiff(at(1, 1), diffStates(one, two)), undefined);
  assert.equal(encodeState(decodeState(encodeState(two))), encodeState(two));
});

const pingResponse = (from: Member, more: Partial<PingResponse> = {}): PingResponse => ({
  from,
  eligible: from.kind === 'control',
  canWin: from.kind === 'control',
  term: 1,
  clusterId: 'x',
  joinedBefore: false,
  accepted: { term: 0, version: 1 },
  voters: base.voters,
  known: [],
  ...more,
});
const self = {
  member: b,
  canWin: true,
  joinedBefore: false,
  accepted: { term: 0, version: 1 },
  voters: base.voters,
};

fence(
  'election: reported masters first, then former members, then all; the last two need enough',
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

fence(
  'a control that cannot sync makes no majority, neither itself nor by its reply, and is not chosen',
  () => {
    const unable = { ...self, canWin: false, writable: false };
    assert.is(elect(unable, [pingResponse(a)]).kind, 'none');
    assert.equal(elect(unable, [pingResponse(a), pingResponse(c)]), {
      kind: 'master',
      member: a,
      by: 'active',
    });
    const mute = { eligible: false, canWin: false };
    assert.is(elect(self, [pingResponse(a, mute)]).kind, 'none');
    assert.equal(elect(self, [pingResponse(a, mute), pingResponse(c)]), {
      kind: 'master',
      member: b,
      by: 'active',
    });
  },
);

fence(
  'bootstrapping waits for every seed and everyone heard of, and for none that knows a cluster',
  () => {
    const blank = (m: Member, more: Partial<PingResponse> = {}) =>
      pingResponse(m, { clusterId: '', canWin: false, ...more });
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

fence.run();
