import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { SimClock } from '@tillerstair/sim';
import { bootstrapState, type Member, type State } from '@tillerstair/state';
import {
  toRpcError,
  delay,
  ElectionError,
  RequestTimeoutError,
  type RpcErrorCodeOf,
} from '@tillerstair/wire';
import { QuorumRead, zenBounds } from '@tillerstair/zen';

const reads = suite('a quorum read');

const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
});
const roundTrip = 10;
const term = 4;

const member = (id: string): Member => ({
  id,
  kind: 'control',
  addr: id,
  http: '',
  zone: '',
  data: '',
  name: '',
});
const stateOf = (now: readonly string[], next: readonly string[], version = 7): State => ({
  ...bootstrapState('x', [...new Set([...now, ...next])].map(member), 1),
  term,
  version,
  voters: { current: now, next },
});

/** A master `a` among voters of which some answer, each with its term or with an error code. */
const master = (
  state: State | undefined,
  terms: ReadonlyMap<string, number | RpcErrorCodeOf<'election'>>,
  more: { readonly deposed?: boolean } = {},
) => {
  const clock = new SimClock();
  const held = { state, asked: 0, later: 0 };
  const lost = new AbortController();
  const read = new QuorumRead({
    localMember: member('a'),
    clock,
    bounds,
    term,
    lost: lost.signal,
    committed: () => held.state,
    hasVotedInLaterTerm: () => more.deposed ?? false,
    onLaterTerm: (t) => {
      held.later = t;
      lost.abort();
    },
    transport: {
      self: 'a',
      onConnectionLost: () => undefined,
      serve: () => Promise.resolve(),
      close: () => Promise.resolve(),
      call: async (to, _kind, _body, { timeoutMs }) => {
        held.asked++;
        const answer = terms.get(to);
        await delay(clock, answer === undefined ? timeoutMs : roundTrip);
        if (answer === undefined) throw new RequestTimeoutError(to);
        if (typeof answer === 'string') throw new ElectionError(answer, 'refused');
        return { term: answer, applied: { term: 0, version: 0 }, report: null };
      },
    },
  });
  return { clock, held, lost, read };
};

const outcome = (work: Promise<State>): Promise<string> =>
  work.then(
    (s) => `version ${s.version}`,
    (e: unknown) => toRpcError(e).code,
  );

const three = ['a', 'b', 'c'];

reads('a majority in the own term confirms, without waiting for a dead voter', async () => {
  const { clock, read } = master(stateOf(three, three), new Map([['b', term]]));
  assert.is(await clock.finish('read', outcome(read.confirm()), roundTrip * 2), 'version 7');
});

reads('silence of the others refuses within 1.25 heartbeats', async () => {
  const { clock, read } = master(stateOf(three, three), new Map());
  assert.is(
    await clock.finish('read', outcome(read.confirm()), bounds.heartbeatInterval * 1.25 + 1),
    'unavailable',
  );
});

reads('a joint change needs a majority of both groups', async () => {
  const next = ['c', 'd', 'e'];
  const onlyOld = master(
    stateOf(three, next),
    new Map([
      ['b', term],
      ['c', term],
    ]),
  );
  assert.is(
    await onlyOld.clock.finish('old', outcome(onlyOld.read.confirm()), 2000),
    'unavailable',
  );
  const both = master(
    stateOf(three, next),
    new Map([
      ['b', term],
      ['c', term],
      ['d', term],
    ]),
  );
  assert.is(await both.clock.finish('both', outcome(both.read.confirm()), 2000), 'version 7');
});

reads('an answer of a later term does not count, and is told', async () => {
  const { clock, held, read } = master(
    stateOf(three, three),
    new Map([
      ['b', term + 1],
      ['c', term + 1],
    ]),
  );
  assert.is(await clock.finish('read', outcome(read.confirm()), 2000), 'unavailable');
  assert.is(held.later, term + 1);
});

reads('an answer of an earlier term does not count', async () => {
  const { clock, read } = master(
    stateOf(three, three),
    new Map([
      ['b', term - 1],
      ['c', term - 1],
    ]),
  );
  assert.is(await clock.finish('read', outcome(read.confirm()), 2000), 'unavailable');
});

reads('a master that voted in a later term confirms nothing', async () => {
  const { clock, read } = master(stateOf(three, three), new Map([['b', term]]), { deposed: true });
  assert.is(await clock.finish('read', outcome(read.confirm()), 2000), 'unavailable');
});

reads('a master that stepped down begins no round', async () => {
  const { clock, held, lost, read } = master(stateOf(three, three), new Map([['b', term]]));
  lost.abort();
  assert.is(await clock.finish('read', outcome(read.confirm()), 2000), 'not-master');
  assert.is(held.asked, 0);
});

reads('a master that steps down during the round confirms nothing', async () => {
  const { clock, lost, read } = master(stateOf(three, three), new Map([['b', term]]));
  const work = outcome(read.confirm());
  await clock.run(roundTrip / 2);
  lost.abort();
  assert.is(await clock.finish('read', work, 2000), 'unavailable');
});

reads('a master that has committed nothing confirms nothing', async () => {
  const { clock, held, read } = master(undefined, new Map([['b', term]]));
  assert.is(await clock.finish('read', outcome(read.confirm()), 2000), 'not-master');
  assert.is(held.asked, 0);
});

reads('a voter whose address holds another node is not asked again', async () => {
  const { clock, held, read } = master(
    stateOf(three, three),
    new Map([
      ['b', 'other-node' as const],
      ['c', 'other-node' as const],
    ]),
  );
  assert.is(await clock.finish('read', outcome(read.confirm()), roundTrip * 2), 'unavailable');
  assert.is(held.asked, 2);
});

reads(
  'a call that comes while a round runs waits for the next, which all such calls share',
  async () => {
    const { clock, held, read } = master(
      stateOf(three, three),
      new Map([
        ['b', term],
        ['c', term],
      ]),
    );
    const first = outcome(read.confirm());
    await clock.run(roundTrip / 2);
    assert.is(held.asked, 2);
    held.state = stateOf(three, three, 8);
    const later = [read.confirm(), read.confirm(), read.confirm()].map(outcome);
    const got = await clock.finish('all', Promise.all([first, ...later]), roundTrip * 4);
    assert.equal(got, ['version 7', 'version 8', 'version 8', 'version 8']);
    assert.is(held.asked, 4);
  },
);

reads.run();
