/** Which controls may bootstrap a cluster, which proposals a blank control votes for, and that no second cluster forms. */
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

const bootstrapping = suite('bootstrapping');

const seeds = [a.addr, b.addr, c.addr];
const viewOf = (localMember: Member, pingResponses: readonly PingResponse[]): BootstrapView => ({
  localMember,
  seeds,
  pingResponses,
  knownMembers: [],
});
const blankReplies = [blankPingResponse(b), blankPingResponse(c)];
const viewOfA = viewOf(a, blankReplies);
const votes = (yes: boolean) => (): Promise<unknown> => Promise.resolve({ yes });

const bootstrapperOf = (
  electionStore: MemoryElectionStore,
  answer: (request: SentRequest) => Promise<unknown> = votes(true),
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
  /** Processes two ping rounds with the same result, by default as far apart as a bootstrap requires. */
  const twoRounds = async (view: BootstrapView, intervalMs = bounds.bootstrapStablePeriod) => {
    await bootstrapper.onPingRound(view);
    await clock.run(intervalMs);
    return bootstrapper.onPingRound(view);
  };
  return { bootstrapper, clock, transport, twoRounds };
};

bootstrapping('every seed must have replied', () => {
  assert.is(closureOf(viewOfA).members.length, 3);
  assert.is(closureOf(viewOf(a, [blankPingResponse(b)])).members.length, 0);
});

bootstrapping('a reply of a node that belongs to a cluster prevents it', () => {
  const old = blankPingResponse(c, { clusterId: 'x' });
  assert.is(closureOf(viewOf(a, [blankPingResponse(b), old])).members.length, 0);
});

bootstrapping('every control that anyone named must have replied', () => {
  const d = member('d');
  const named = blankPingResponse(c, { known: [d] });
  assert.is(closureOf(viewOf(a, [blankPingResponse(b), named])).members.length, 0);
  assert.is(closureOf({ ...viewOfA, knownMembers: [d] }).members.length, 0);
  assert.is(closureOf({ ...viewOfA, knownMembers: [member('d', 'store')] }).members.length, 3);
});

bootstrapping('only controls are members', () => {
  const withStore = [...blankReplies, blankPingResponse(member('d', 'store'))];
  assert.equal(
    closureOf(viewOf(a, withStore)).members.map((m) => m.id),
    ['a', 'b', 'c'],
  );
});

bootstrapping(
  'the member with the lowest id accepts the bootstrap state once all others have voted',
  async () => {
    const electionStore = new MemoryElectionStore('a');
    const { twoRounds, transport } = bootstrapperOf(electionStore);
    assert.is(await twoRounds(viewOfA), true);
    assert.equal(electionStore.persisted.accepted?.voters.current, ['a', 'b', 'c']);
    assert.equal(
      electionStore.persisted.bootstrapVote.map((m) => m.id),
      ['a', 'b', 'c'],
    );
    assert.is(transport.count('zen/bootstrap'), 2);
  },
);

bootstrapping('the members must have been the same for long enough', async () => {
  const electionStore = new MemoryElectionStore('a');
  const { bootstrapper, twoRounds, clock } = bootstrapperOf(electionStore);
  assert.is(await twoRounds(viewOfA, bounds.bootstrapStablePeriod - 1), false);
  const others = [...blankReplies, blankPingResponse(member('d'))];
  await clock.run(1);
  assert.is(await bootstrapper.onPingRound(viewOf(a, others)), false);
  assert.is(await bootstrapper.onPingRound(viewOfA), false);
  assert.is(electionStore.persisted.accepted, undefined);
});

bootstrapping('a member other than the one with the lowest id proposes nothing', async () => {
  const electionStore = new MemoryElectionStore('b');
  const { twoRounds, transport } = bootstrapperOf(electionStore);
  assert.is(await twoRounds(viewOf(b, [blankPingResponse(a), blankPingResponse(c)])), false);
  assert.is(transport.sent.length, 0);
});

bootstrapping('a missing or refused vote prevents it', async () => {
  const refuses = (request: SentRequest): Promise<unknown> =>
    Promise.resolve({ yes: request.to === b.addr });
  const timesOut = (request: SentRequest): Promise<unknown> =>
    request.to === b.addr ? Promise.resolve({ yes: true }) : Promise.reject(new Error('no reply'));
  for (const answer of [refuses, timesOut]) {
    const electionStore = new MemoryElectionStore('a');
    const { twoRounds } = bootstrapperOf(electionStore, answer);
    assert.is(await twoRounds(viewOfA), false);
    assert.is(electionStore.persisted.accepted, undefined);
  }
});

bootstrapping(
  'a local vote that changed during the requests to the others prevents it',
  async () => {
    const electionStore = new MemoryElectionStore('a');
    const { twoRounds } = bootstrapperOf(electionStore, async () => {
      await electionStore.recordBootstrapVote([a, b, c, member('d')]);
      return { yes: true };
    });
    assert.is(await twoRounds(viewOfA), false);
    assert.is(electionStore.persisted.accepted, undefined);
  },
);

bootstrapping('a state that was accepted during the requests to the others is kept', async () => {
  const electionStore = new MemoryElectionStore('a');
  const { twoRounds } = bootstrapperOf(electionStore, async () => {
    await electionStore.accept(bootstrapped);
    return { yes: true };
  });
  assert.is(await twoRounds(viewOfA), false);
  assert.is(electionStore.persisted.accepted?.clusterId, 'x');
});

/** Bootstrapper of `b`, whose last ping round had replies of `a` and `c`; `voted` are the members of its earlier vote. */
const voterAfterRound = async (
  electionStore: MemoryElectionStore,
  voted: readonly Member[] = [],
) => {
  if (voted.length > 0) await electionStore.recordBootstrapVote(voted);
  const { bootstrapper } = bootstrapperOf(electionStore);
  await bootstrapper.onPingRound(viewOf(b, [blankPingResponse(a), blankPingResponse(c)]));
  return bootstrapper;
};
const proposal = { from: a, members: [a, b, c] };

bootstrapping('a control votes only for exactly the members of its last ping round', async () => {
  const electionStore = new MemoryElectionStore('b');
  const bootstrapper = await voterAfterRound(electionStore);
  assert.equal(await bootstrapper.onVoteRequest(b, { from: a, members: [a, b] }), { yes: false });
  assert.equal(electionStore.persisted.bootstrapVote, []);
  assert.equal(await bootstrapper.onVoteRequest(b, proposal), { yes: true });
  assert.equal(
    electionStore.persisted.bootstrapVote.map((m) => m.id),
    ['a', 'b', 'c'],
  );
});

bootstrapping('a control that has accepted a state votes for nobody', async () => {
  const electionStore = new MemoryElectionStore('b');
  const bootstrapper = await voterAfterRound(electionStore);
  await electionStore.accept(bootstrapped);
  assert.equal(await bootstrapper.onVoteRequest(b, proposal), { yes: false });
});

bootstrapping('a control that is not among the proposed members does not vote', async () => {
  const electionStore = new MemoryElectionStore('b');
  const bootstrapper = await voterAfterRound(electionStore);
  assert.equal(await bootstrapper.onVoteRequest(member('d'), proposal), { yes: false });
});

bootstrapping(
  'a vote changes only to members that cover all addresses of the earlier vote',
  async () => {
    const covered = await voterAfterRound(new MemoryElectionStore('b'), [a, b]);
    assert.equal(await covered.onVoteRequest(b, proposal), { yes: true });
    const electionStore = new MemoryElectionStore('b');
    const bootstrapper = await voterAfterRound(electionStore, [b, member('d')]);
    assert.equal(await bootstrapper.onVoteRequest(b, proposal), { yes: false });
    assert.equal(
      electionStore.persisted.bootstrapVote.map((m) => m.id),
      ['b', 'd'],
    );
  },
);

bootstrapping('a repeated vote is acknowledged only once it is on disk', async () => {
  const electionStore = new ObservedElectionStore('b');
  const bootstrapper = await voterAfterRound(electionStore, [a, b, c]);
  assert.equal(await bootstrapper.onVoteRequest(b, proposal), { yes: true });
  assert.is(electionStore.syncsAwaited, 1);
});

bootstrapping.run();
