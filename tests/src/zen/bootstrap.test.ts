/** Who may bootstrap a cluster, for whom a blank control votes, and what keeps a second cluster from coming up. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { SimClock } from '@tillerstair/sim';
import { type Member } from '@tillerstair/state';
import { silentLogger } from '@tillerstair/wire';
import {
  Bootstrapper,
  closureOf,
  MemoryElectionStore,
  type BootstrapView,
  type PingResponse,
} from '@tillerstair/zen';
import {
  a,
  b,
  blankPingResponse,
  bounds,
  bootstrapped,
  c,
  member,
  ObservedElectionStore,
  ScriptedTransport,
  type SentRequest,
} from '../support/zen-fixtures.js';

const bootstraps = suite('bootstrapping');

const seeds = [a.addr, b.addr, c.addr];
const viewOf = (localMember: Member, pingResponses: readonly PingResponse[]): BootstrapView => ({
  localMember,
  seeds,
  pingResponses,
  knownMembers: [],
});
const blankReplies = [blankPingResponse(b), blankPingResponse(c)];
const viewOfA = viewOf(a, blankReplies);
const says = (yes: boolean) => (): Promise<unknown> => Promise.resolve({ yes });

const bootstrapperOf = (
  electionStore: MemoryElectionStore,
  answer: (request: SentRequest) => Promise<unknown> = says(true),
) => {
  const clock = new SimClock();
  const transport = new ScriptedTransport(answer);
  const bootstrapper = new Bootstrapper({
    clock,
    transport,
    electionStore,
    bounds,
    log: silentLogger,
    slots: 1,
  });
  /** Two rounds that saw the same, as far apart as a bootstrap needs. */
  const twoRounds = async (view: BootstrapView, apart = bounds.bootstrapStablePeriod) => {
    await bootstrapper.onPingRound(view);
    await clock.run(apart);
    return bootstrapper.onPingRound(view);
  };
  return { bootstrapper, clock, transport, twoRounds };
};

bootstraps('every seed must have replied', () => {
  assert.is(closureOf(viewOfA).members.length, 3);
  assert.is(closureOf(viewOf(a, [blankPingResponse(b)])).members.length, 0);
});

bootstraps('a reply that knows a cluster forbids it', () => {
  const old = blankPingResponse(c, { clusterId: 'x' });
  assert.is(closureOf(viewOf(a, [blankPingResponse(b), old])).members.length, 0);
});

bootstraps('every control that anyone named must have replied', () => {
  const d = member('d');
  const named = blankPingResponse(c, { known: [d] });
  assert.is(closureOf(viewOf(a, [blankPingResponse(b), named])).members.length, 0);
  assert.is(closureOf({ ...viewOfA, knownMembers: [d] }).members.length, 0);
  assert.is(closureOf({ ...viewOfA, knownMembers: [member('d', 'store')] }).members.length, 3);
});

bootstraps('only controls are members', () => {
  const withStore = [...blankReplies, blankPingResponse(member('d', 'store'))];
  assert.equal(
    closureOf(viewOf(a, withStore)).members.map((m) => m.id),
    ['a', 'b', 'c'],
  );
});

bootstraps('the first member accepts the bootstrapping state with all votes', async () => {
  const electionStore = new MemoryElectionStore('a');
  const { twoRounds, transport } = bootstrapperOf(electionStore);
  assert.is(await twoRounds(viewOfA), true);
  assert.equal(electionStore.persisted.accepted?.voters.current, ['a', 'b', 'c']);
  assert.equal(
    electionStore.persisted.bootstrapVote.map((m) => m.id),
    ['a', 'b', 'c'],
  );
  assert.is(transport.count('zen/bootstrap'), 2);
});

bootstraps('the members must have been the same for long enough', async () => {
  const electionStore = new MemoryElectionStore('a');
  const { bootstrapper, twoRounds, clock } = bootstrapperOf(electionStore);
  assert.is(await twoRounds(viewOfA, bounds.bootstrapStablePeriod - 1), false);
  const others = [...blankReplies, blankPingResponse(member('d'))];
  await clock.run(1);
  assert.is(await bootstrapper.onPingRound(viewOf(a, others)), false);
  assert.is(await bootstrapper.onPingRound(viewOfA), false);
  assert.is(electionStore.persisted.accepted, undefined);
});

bootstraps('another member than the first proposes nothing', async () => {
  const electionStore = new MemoryElectionStore('b');
  const { twoRounds, transport } = bootstrapperOf(electionStore);
  assert.is(await twoRounds(viewOf(b, [blankPingResponse(a), blankPingResponse(c)])), false);
  assert.is(transport.sent.length, 0);
});

bootstraps('a missing vote, or one that was refused, forbids it', async () => {
  const refuses = (request: SentRequest): Promise<unknown> =>
    Promise.resolve({ yes: request.to === b.addr });
  const isSilent = (request: SentRequest): Promise<unknown> =>
    request.to === b.addr ? Promise.resolve({ yes: true }) : Promise.reject(new Error('no reply'));
  for (const answer of [refuses, isSilent]) {
    const electionStore = new MemoryElectionStore('a');
    const { twoRounds } = bootstrapperOf(electionStore, answer);
    assert.is(await twoRounds(viewOfA), false);
    assert.is(electionStore.persisted.accepted, undefined);
  }
});

bootstraps('a vote that moved while the others were asked forbids it', async () => {
  const electionStore = new MemoryElectionStore('a');
  const { twoRounds } = bootstrapperOf(electionStore, async () => {
    await electionStore.recordBootstrapVote([a, b, c, member('d')]);
    return { yes: true };
  });
  assert.is(await twoRounds(viewOfA), false);
  assert.is(electionStore.persisted.accepted, undefined);
});

bootstraps('a state that was accepted while the others were asked stays', async () => {
  const electionStore = new MemoryElectionStore('a');
  const { twoRounds } = bootstrapperOf(electionStore, async () => {
    await electionStore.accept(bootstrapped);
    return { yes: true };
  });
  assert.is(await twoRounds(viewOfA), false);
  assert.is(electionStore.persisted.accepted?.clusterId, 'x');
});

/** A voter `b` whose own last round saw all three, with what it has voted for before. */
const voterAfterRound = async (
  electionStore: MemoryElectionStore,
  voted: readonly Member[] = [],
) => {
  if (voted.length > 0) await electionStore.recordBootstrapVote(voted);
  const { bootstrapper } = bootstrapperOf(electionStore);
  await bootstrapper.onPingRound(viewOf(b, [blankPingResponse(a), blankPingResponse(c)]));
  return bootstrapper;
};
const all = { from: a, members: [a, b, c] };

bootstraps(
  'a control votes for the members that its own last round saw, and no others',
  async () => {
    const electionStore = new MemoryElectionStore('b');
    const bootstrapper = await voterAfterRound(electionStore);
    assert.equal(await bootstrapper.onVoteRequest(b, { from: a, members: [a, b] }), { yes: false });
    assert.equal(electionStore.persisted.bootstrapVote, []);
    assert.equal(await bootstrapper.onVoteRequest(b, all), { yes: true });
    assert.equal(
      electionStore.persisted.bootstrapVote.map((m) => m.id),
      ['a', 'b', 'c'],
    );
  },
);

bootstraps('a control that has accepted a state votes for nobody', async () => {
  const electionStore = new MemoryElectionStore('b');
  const bootstrapper = await voterAfterRound(electionStore);
  await electionStore.accept(bootstrapped);
  assert.equal(await bootstrapper.onVoteRequest(b, all), { yes: false });
});

bootstraps('a control that has no place among the members does not vote', async () => {
  const electionStore = new MemoryElectionStore('b');
  const bootstrapper = await voterAfterRound(electionStore);
  assert.equal(await bootstrapper.onVoteRequest(member('d'), all), { yes: false });
});

bootstraps('a vote moves only to members at all addresses of the earlier vote', async () => {
  const covered = await voterAfterRound(new MemoryElectionStore('b'), [a, b]);
  assert.equal(await covered.onVoteRequest(b, all), { yes: true });
  const electionStore = new MemoryElectionStore('b');
  const bootstrapper = await voterAfterRound(electionStore, [b, member('d')]);
  assert.equal(await bootstrapper.onVoteRequest(b, all), { yes: false });
  assert.equal(
    electionStore.persisted.bootstrapVote.map((m) => m.id),
    ['b', 'd'],
  );
});

bootstraps('a vote that is said again is on disk first', async () => {
  const electionStore = new ObservedElectionStore('b');
  const bootstrapper = await voterAfterRound(electionStore, [a, b, c]);
  assert.equal(await bootstrapper.onVoteRequest(b, all), { yes: true });
  assert.is(electionStore.syncsAwaited, 1);
});

bootstraps.run();
