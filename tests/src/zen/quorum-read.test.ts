/** Which replies of the voters confirm a quorum read, and which calls share a round of requests. */
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
const stateOf = (current: readonly string[], next: readonly string[], version = 7): State => ({
  ...bootstrapState('x', [...new Set([...current, ...next])].map(member), 1),
  term,
  version,
  voters: { current, next },
});

/** The quorum reads of a master `a`; the listed voters reply with a term or an error code, all others time out. */
const masterAmong = (
  state: State | undefined,
  terms: ReadonlyMap<string, number | RpcErrorCodeOf<'election'>>,
  options: { readonly deposed?: boolean } = {},
) => {
  const clock = new SimClock();
  const scenario = { state, asked: 0, later: 0 };
  const lost = new AbortController();
  const read = new QuorumRead({
    localMember: member('a'),
    clock,
    bounds,
    term,
    lost: lost.signal,
    committed: () => scenario.state,
    hasVotedInLaterTerm: () => options.deposed ?? false,
    onLaterTerm: (laterTerm) => {
      scenario.later = laterTerm;
      lost.abort();
    },
    transport: {
      self: 'a',
      onConnectionLost: () => undefined,
      serve: () => Promise.resolve(),
      close: () => Promise.resolve(),
      call: async (to, _kind, _body, { timeoutMs }) => {
        scenario.asked++;
        const answer = terms.get(to);
        await delay(clock, answer === undefined ? timeoutMs : roundTrip);
        if (answer === undefined) throw new RequestTimeoutError(to);
        if (typeof answer === 'string') throw new ElectionError(answer, 'refused');
        return { term: answer, applied: { term: 0, version: 0 }, report: null };
      },
    },
  });
  return { clock, scenario, lost, read };
};

const outcome = (work: Promise<State>): Promise<string> =>
  work.then(
    (state) => `version ${state.version}`,
    (e: unknown) => toRpcError(e).code,
  );

const voterIds = ['a', 'b', 'c'];

reads(
  'a majority in the term of the master confirms it without waiting for a voter that does not reply',
  async () => {
    const { clock, read } = masterAmong(stateOf(voterIds, voterIds), new Map([['b', term]]));
    assert.is(await clock.finish('read', outcome(read.confirm()), roundTrip * 2), 'version 7');
  },
);

reads('without replies a read is refused within 1.25 heartbeats', async () => {
  const { clock, read } = masterAmong(stateOf(voterIds, voterIds), new Map());
  assert.is(
    await clock.finish('read', outcome(read.confirm()), bounds.heartbeatInterval * 1.25 + 1),
    'unavailable',
  );
});

reads('during a joint change a majority of both groups has to confirm', async () => {
  const next = ['c', 'd', 'e'];
  const currentOnly = masterAmong(
    stateOf(voterIds, next),
    new Map([
      ['b', term],
      ['c', term],
    ]),
  );
  assert.is(
    await currentOnly.clock.finish('old', outcome(currentOnly.read.confirm()), 2000),
    'unavailable',
  );
  const both = masterAmong(
    stateOf(voterIds, next),
    new Map([
      ['b', term],
      ['c', term],
      ['d', term],
    ]),
  );
  assert.is(await both.clock.finish('both', outcome(both.read.confirm()), 2000), 'version 7');
});

reads('a reply in a later term does not confirm and is passed on', async () => {
  const { clock, scenario, read } = masterAmong(
    stateOf(voterIds, voterIds),
    new Map([
      ['b', term + 1],
      ['c', term + 1],
    ]),
  );
  assert.is(await clock.finish('read', outcome(read.confirm()), 2000), 'unavailable');
  assert.is(scenario.later, term + 1);
});

reads('a reply in an earlier term does not confirm', async () => {
  const { clock, read } = masterAmong(
    stateOf(voterIds, voterIds),
    new Map([
      ['b', term - 1],
      ['c', term - 1],
    ]),
  );
  assert.is(await clock.finish('read', outcome(read.confirm()), 2000), 'unavailable');
});

reads('a master that voted in a later term confirms nothing', async () => {
  const { clock, read } = masterAmong(stateOf(voterIds, voterIds), new Map([['b', term]]), {
    deposed: true,
  });
  assert.is(await clock.finish('read', outcome(read.confirm()), 2000), 'unavailable');
});

reads('a master that stepped down begins no round', async () => {
  const { clock, scenario, lost, read } = masterAmong(
    stateOf(voterIds, voterIds),
    new Map([['b', term]]),
  );
  lost.abort();
  assert.is(await clock.finish('read', outcome(read.confirm()), 2000), 'not-master');
  assert.is(scenario.asked, 0);
});

reads('a master that steps down during the round confirms nothing', async () => {
  const { clock, lost, read } = masterAmong(stateOf(voterIds, voterIds), new Map([['b', term]]));
  const work = outcome(read.confirm());
  await clock.run(roundTrip / 2);
  lost.abort();
  assert.is(await clock.finish('read', work, 2000), 'unavailable');
});

reads('a master that has committed nothing confirms nothing', async () => {
  const { clock, scenario, read } = masterAmong(undefined, new Map([['b', term]]));
  assert.is(await clock.finish('read', outcome(read.confirm()), 2000), 'not-master');
  assert.is(scenario.asked, 0);
});

reads('a voter whose address belongs to another node is not asked again', async () => {
  const { clock, scenario, read } = masterAmong(
    stateOf(voterIds, voterIds),
    new Map([
      ['b', 'other-node' as const],
      ['c', 'other-node' as const],
    ]),
  );
  assert.is(await clock.finish('read', outcome(read.confirm()), roundTrip * 2), 'unavailable');
  assert.is(scenario.asked, 2);
});

reads('calls during a round wait for the next one and share it', async () => {
  const { clock, scenario, read } = masterAmong(
    stateOf(voterIds, voterIds),
    new Map([
      ['b', term],
      ['c', term],
    ]),
  );
  const first = outcome(read.confirm());
  await clock.run(roundTrip / 2);
  assert.is(scenario.asked, 2);
  scenario.state = stateOf(voterIds, voterIds, 8);
  const later = [read.confirm(), read.confirm(), read.confirm()].map(outcome);
  const outcomes = await clock.finish('all', Promise.all([first, ...later]), roundTrip * 4);
  assert.equal(outcomes, ['version 7', 'version 8', 'version 8', 'version 8']);
  assert.is(scenario.asked, 4);
});

reads.run();
