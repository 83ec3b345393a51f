import { deflateSync } from 'node:zlib';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { diffOf, flatten, foundingState, patch, reduce, unflatten, type Mate, type State } from '@tillerstair/state';
import { Life, seededRng, SimClock, SimPlatter } from '@tillerstair/sim';
import { closureOf, DiskKeep, elect, MemoryKeep, Receiver, type Pong } from '@tillerstair/zen';

const fence = suite('election, fence and founding, piece by piece');

const mate = (id: string, kind: Mate['kind'] = 'control'): Mate => ({ id, kind, addr: `${id}:1`, http: '', zone: 'a', data: '', name: '' });
const [a, b, c] = ['a', 'b', 'c'].map((id) => mate(id));
if (!a || !b || !c) throw new Error('no mates');
const base = foundingState('x', [a, b, c], 8);
const at = (term: number, version: number, master = 'a'): State => ({ ...base, term, version, master });

const publish = (from: Mate, s: State) => ({
  from, term: s.term, clusterId: s.clusterId, packed: deflateSync(JSON.stringify({ full: [...flatten(s)] })).toString('base64'),
});

const receiver = () => {
  const keep = new MemoryKeep('me');
  const applied: State[] = [];
  const r = new Receiver({
    keep, onApplied: async (s) => void applied.push(s), knows: () => true, onTerm: () => undefined, onPublished: () => undefined,
  });
  return { keep, applied, r };
};

const code = (p: Promise<unknown>): Promise<string> =>
  p.then(() => 'taken', (e: unknown) => (e instanceof Error && 'code' in e ? String(e.code) : String(e)));

fence('a node that promised a later term refuses the old master, state or no state', async () => {
  const { keep, r } = receiver();
  assert.is(await code(r.onPublish(publish(a, at(3, 5)))), 'taken');
  await keep.promise(4, 'b');
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

fence('promises, votes and states a node spoke of stand after power loss at once', async () => {
  const clock = new SimClock();
  const platter = new SimPlatter(seededRng(5));
  const open = () => clock.finish('open', DiskKeep.open(platter.disk(clock, new Life()), () => 'me', 1 << 20), 1000);
  const lose = async <T>(work: Promise<T>): Promise<void> => {
    await clock.finish('work', work, 1000);
    platter.powerLoss();
  };
  await lose((await open()).vote([a, b]));
  await lose((await open()).promise(4, 'b'));
  const { kept } = await open();
  assert.equal([kept.id, kept.vote.length, kept.term, kept.promisedTo], ['me', 2, 4, 'b']);
  const keep = await open();
  const r = new Receiver({ keep, onApplied: async () => undefined, knows: () => true, onTerm: () => undefined, onPublished: () => undefined });
  await lose(r.onPublish(publish(b, at(4, 6, 'b'))));
  const after = (await open()).kept.accepted;
  assert.equal([after?.term, after?.version], [4, 6]);
});

fence('another cluster\'s state is refused', async () => {
  const { r } = receiver();
  await r.onPublish(publish(a, at(1, 2)));
  assert.is(await code(r.onPublish(publish(a, { ...at(2, 3), clusterId: 'y' }))), 'other-cluster');
});

fence('a diff gives the state it was made from, and fits no other', () => {
  const one = at(1, 2);
  const two = { ...reduce(reduce(one, { kind: 'join', mate: b }), { kind: 'server', server: { id: 's', pool: 'p', url: 'u', leaving: false, down: false, zone: '', places: 0 } }), version: 3 };
  const back = patch(one, diffOf(one, two));
  assert.equal(back && [...flatten(back)].sort(), [...flatten(two)].sort());
  assert.is(patch(at(1, 1), diffOf(one, two)), undefined);
  assert.equal(flatten(unflatten(flatten(two))), flatten(two));
});

const pong = (from: Mate, more: Partial<Pong> = {}): Pong => ({
  from, eligible: from.kind === 'control', canWin: from.kind === 'control', term: 1, clusterId: 'x', joinedBefore: false,
  accepted: { term: 0, version: 1 }, voters: base.voters, known: [], ...more,
});
const self = { mate: b, canWin: true, joinedBefore: false, accepted: { term: 0, version: 1 }, voters: base.voters };

fence('election: reported masters first, then former members, then all; the last two need enough', () => {
  assert.equal(elect(self, [pong(a, { master: c }), pong(c)]), { kind: 'master', mate: c, by: 'reported' });
  assert.equal(elect(self, [pong(a), pong(c, { joinedBefore: true })]), { kind: 'master', mate: c, by: 'former' });
  assert.equal(elect(self, [pong(a), pong(c)]), { kind: 'master', mate: a, by: 'active' });
  assert.is(elect(self, []).kind, 'none');
  assert.is(elect(self, [pong(mate('d')), pong(mate('e')), pong(mate('s', 'store'))]).kind, 'none');
  assert.equal(elect(self, [pong(a, { master: mate('gone') }), pong(c)]), { kind: 'master', mate: a, by: 'active' });
});

fence('a control that cannot sync makes no majority, neither itself nor by its reply, and is not chosen', () => {
  const unable = { ...self, canWin: false, writable: false };
  assert.is(elect(unable, [pong(a)]).kind, 'none');
  assert.equal(elect(unable, [pong(a), pong(c)]), { kind: 'master', mate: a, by: 'active' });
  const mute = { eligible: false, canWin: false };
  assert.is(elect(self, [pong(a, mute)]).kind, 'none');
  assert.equal(elect(self, [pong(a, mute), pong(c)]), { kind: 'master', mate: b, by: 'active' });
});

fence('founding waits for every seed and everyone heard of, and for none that knows a cluster', () => {
  const blank = (m: Mate, more: Partial<Pong> = {}) => pong(m, { clusterId: '', canWin: false, ...more });
  const view = { me: a, seeds: [a.addr, b.addr, c.addr], heardOf: [] };
  assert.is(closureOf({ ...view, pongs: [blank(b), blank(c)] }).members.length, 3);
  assert.is(closureOf({ ...view, pongs: [blank(b)] }).members.length, 0);
  assert.is(closureOf({ ...view, pongs: [blank(b), blank(c, { clusterId: 'x' })] }).members.length, 0);
  assert.is(closureOf({ ...view, pongs: [blank(b, { known: [mate('d')] }), blank(c)] }).members.length, 0);
  assert.is(closureOf({ ...view, heardOf: [mate('e')], pongs: [blank(b), blank(c)] }).members.length, 0);
});

fence.run();
