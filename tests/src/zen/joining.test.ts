/** How a node joins the master that it chose, and how a candidate gathers votes. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { SimClock } from '@tillerstair/sim';
import { encodeState, type State } from '@tillerstair/state';
import {
  ConnectionRefusedError,
  delay,
  RequestTimeoutError,
  ElectionError,
} from '@tillerstair/wire';
import { gatherVotes, joinMaster, type Join, type Ping } from '@tillerstair/zen';
import {
  a,
  b,
  bootstrapped,
  bounds,
  c,
  member,
  outcomeOf,
  pingResponse,
  ScriptedTransport,
  stateAt,
  type SentRequest,
} from '../support/zen-fixtures.js';

const joins = suite('a join');

const ping: Ping = { from: b, known: [], clusterId: 'x' };
const join: Join = { from: b, term: 0, accepted: { term: 0, version: 1 }, clusterId: 'x' };

const joinWith = async (answer: (request: SentRequest) => Promise<unknown>) => {
  const transport = new ScriptedTransport(answer);
  const options = { localMember: b, clock: new SimClock(), transport, bounds };
  return { outcome: await outcomeOf(joinMaster(options, a, ping, join)), transport };
};
const joinRefusedWith = (error: Error) =>
  joinWith((request) =>
    request.kind === 'zen/ping' ? Promise.resolve(pingResponse(a)) : Promise.reject(error),
  );

joins('is not sent to another node that has taken over the address', async () => {
  const { outcome, transport } = await joinWith(() => Promise.resolve(pingResponse(member('d'))));
  assert.is.not(outcome, 'done');
  assert.is(transport.count('zen/join'), 0);
});

joins('is retried after a timeout, up to the configured number of attempts', async () => {
  const { outcome, transport } = await joinRefusedWith(new RequestTimeoutError(a.addr));
  assert.is(outcome, 'request-timeout');
  assert.is(transport.count('zen/join'), bounds.joinAttempts);
});

joins('is not retried if the node is not master or refuses the connection', async () => {
  for (const error of [new ElectionError('not-master', ''), new ConnectionRefusedError(a.addr)]) {
    const { outcome, transport } = await joinRefusedWith(error);
    assert.is(outcome, error.code);
    assert.is(transport.count('zen/join'), 1);
  }
});

const candidates = suite('a candidate');

const term = 4;
const gather = async (answers: ReadonlyMap<string, unknown>) => {
  const clock = new SimClock();
  const transport = new ScriptedTransport(async ({ to }) => {
    const answer = answers.get(to);
    await delay(clock, answer === undefined ? bounds.joinTimeout : 1);
    if (answer === undefined) throw new RequestTimeoutError(to);
    if (answer instanceof Error) throw answer;
    return answer;
  });
  const options = { localMember: a, clock, transport, bounds };
  const votes = gatherVotes(options, bootstrapped, term, [b, c]);
  return clock.finish('votes', votes, bounds.joinTimeout * 2);
};
const granted = (state?: State): object => ({
  accepted: { term: state?.term ?? 0, version: state?.version ?? 1 },
  ...(state ? { state: [...encodeState(state)] } : {}),
});

candidates('counts the votes that were granted, not those refused or missing', async () => {
  const refused = new ElectionError('stale-term', '');
  const votes = await gather(new Map([[b.addr, refused]]));
  assert.equal([...votes.granted], []);
  const one = await gather(
    new Map<string, unknown>([
      [b.addr, refused],
      [c.addr, granted()],
    ]),
  );
  assert.equal([...one.granted], ['c']);
});

candidates('adopts the newest state that a voter has accepted, and no older one', async () => {
  const votes = await gather(
    new Map([
      [b.addr, granted(stateAt(3, 9))],
      [c.addr, granted(stateAt(2, 30))],
    ]),
  );
  assert.equal([...votes.granted].sort(), ['b', 'c']);
  assert.equal([votes.newestState.term, votes.newestState.version], [3, 9]);
  const older = await gather(new Map([[b.addr, granted(stateAt(-1, 30))]]));
  assert.equal([older.newestState.term, older.newestState.version], [0, 1]);
});

joins.run();
candidates.run();
