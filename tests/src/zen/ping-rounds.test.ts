/** Which nodes a ping round asks, and when a round ends. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { SimClock } from '@tillerstair/sim';
import { ConnectionRefusedError, delay } from '@tillerstair/wire';
import { KnownMembers, PingRound, type PingResponse } from '@tillerstair/zen';
import {
  a,
  b,
  bounds,
  c,
  member,
  pingResponse,
  ScriptedTransport,
  type SentRequest,
} from '../support/zen-fixtures.js';

const rounds = suite('a ping round');

const roundsOf = (
  answer: (request: SentRequest, clock: SimClock) => Promise<unknown>,
  seeds: readonly string[] = [a.addr, b.addr],
) => {
  const clock = new SimClock();
  const transport = new ScriptedTransport((request) => answer(request, clock));
  const knownMembers = new KnownMembers(a.addr);
  const stopping = new AbortController();
  const round = () => {
    const pings = new PingRound({
      clock,
      transport,
      timeoutMs: bounds.pingRoundTimeout,
      knownMembers,
      localAddress: a.addr,
      seeds: () => seeds,
      ping: () => ({ from: a, known: knownMembers.controls(), clusterId: '' }),
      stopping: stopping.signal,
    });
    return clock.finish('round', pings.run(), bounds.pingRoundTimeout * 2);
  };
  return { clock, transport, knownMembers, round };
};
const idsOf = (responses: readonly PingResponse[]): readonly string[] =>
  responses.map((response) => response.from.id);

rounds('pings the seeds and the controls that they name, each once, and never itself', async () => {
  const { round, transport } = roundsOf(({ to }) =>
    to === b.addr
      ? Promise.resolve(pingResponse(b, { known: [a, c, member('s', 'store')] }))
      : Promise.resolve(pingResponse(c, { known: [b] })),
  );
  assert.equal(idsOf((await round()).pingResponses), ['b', 'c']);
  assert.equal(
    transport.sent.map((request) => request.to),
    [b.addr, c.addr],
  );
});

rounds(
  'ends once each address has replied or refused, else after the timeout of the round',
  async () => {
    const refuses = roundsOf(({ to }) => Promise.reject(new ConnectionRefusedError(to)));
    const before = refuses.clock.now();
    assert.equal((await refuses.round()).pingResponses, []);
    assert.is(refuses.clock.now(), before);
    const hangs = roundsOf(({ to }, clock) =>
      delay(clock, bounds.pingRoundTimeout * 9).then(() => pingResponse(member(to))),
    );
    const start = hangs.clock.now();
    assert.equal((await hangs.round()).pingResponses, []);
    assert.is(hangs.clock.now() - start, bounds.pingRoundTimeout);
  },
);

rounds('no longer pings an address after 21 failures in a row', async () => {
  const { knownMembers, round } = roundsOf(({ to }) =>
    Promise.reject(new ConnectionRefusedError(to)),
  );
  knownMembers.learn([c]);
  for (let i = 0; i < 20; i++) await round();
  assert.equal(knownMembers.all(), [c]);
  await round();
  assert.equal(knownMembers.all(), []);
});

rounds('a reply resets the count of failures', async () => {
  let isUp = false;
  const { knownMembers, round } = roundsOf(
    ({ to }) =>
      isUp ? Promise.resolve(pingResponse(c)) : Promise.reject(new ConnectionRefusedError(to)),
    [],
  );
  knownMembers.learn([c]);
  for (let i = 0; i < 20; i++) await round();
  isUp = true;
  await round();
  isUp = false;
  for (let i = 0; i < 20; i++) await round();
  assert.equal(knownMembers.all(), [c]);
});

rounds('a node knows at most the 256 most recently mentioned members, and not itself', () => {
  const knownMembers = new KnownMembers(a.addr);
  knownMembers.learn([a]);
  assert.equal(knownMembers.all(), []);
  knownMembers.learn(Array.from({ length: 300 }, (_, i) => member(`m${i}`)));
  assert.is(knownMembers.all().length, 256);
  assert.is(knownMembers.all()[0]?.id, 'm44');
});

rounds.run();
