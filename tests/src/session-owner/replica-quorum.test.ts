/** Replicas are asked as few at a time as a quorum needs. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { requestQuorum } from '@tillerstair/session-owner';
import { SimClock } from '@tillerstair/sim';

const quorumRequests = suite('requests to a quorum of replicas');
const ids = ['a', 'b', 'c', 'd', 'e'];
const quorum = 3;
const hedgeAfterMs = 100;

interface Outcome {
  readonly asked: readonly string[];
  readonly responses: ReadonlyMap<string, string>;
  readonly tookMs: number;
}

/** Runs one request in simulated time; `reply` responds after some ms or fails. */
const request = async (
  reply: (id: string, clock: SimClock) => Promise<string>,
): Promise<Outcome> => {
  const clock = new SimClock();
  const asked: string[] = [];
  const began = clock.now();
  const work = requestQuorum({
    clock,
    replicas: ids,
    quorum,
    hedgeAfterMs,
    send: (id) => {
      asked.push(id);
      return reply(id, clock);
    },
  });
  const responses = await clock.finish('request', work, 10000);
  return { asked, responses, tookMs: clock.now() - began };
};

const after = (clock: SimClock, ms: number, text: string): Promise<string> =>
  new Promise((done) => {
    clock.after(ms, () => done(text));
  });
const failure = (): Promise<string> => Promise.reject(new Error('unavailable'));

quorumRequests('only a quorum is asked where all reply', async () => {
  const { asked, responses } = await request((id, clock) => after(clock, 10, id));
  assert.equal(asked, ['a', 'b', 'c']);
  assert.equal([...responses.keys()], ['a', 'b', 'c']);
});

quorumRequests('one that fails is replaced at once', async () => {
  const { asked, responses, tookMs } = await request((id, clock) =>
    id === 'b' ? failure() : after(clock, 10, id),
  );
  assert.equal(asked, ['a', 'b', 'c', 'd']);
  assert.equal([...responses.keys()].sort(), ['a', 'c', 'd']);
  assert.ok(tookMs < hedgeAfterMs);
});

quorumRequests('one that is late is not waited for', async () => {
  const { asked, responses, tookMs } = await request((id, clock) =>
    after(clock, id === 'a' ? 5000 : 10, id),
  );
  assert.equal(asked, ['a', 'b', 'c', 'd']);
  assert.equal([...responses.keys()].sort(), ['b', 'c', 'd']);
  assert.ok(tookMs < hedgeAfterMs * 2);
});

quorumRequests('too few responses end the request with what there is', async () => {
  const { asked, responses } = await request((id, clock) =>
    id < 'd' ? failure() : after(clock, 10, id),
  );
  assert.equal(asked, ids);
  assert.equal([...responses.keys()].sort(), ['d', 'e']);
});

quorumRequests(
  'a response after the end is left out, and a failure after it asks nobody',
  async () => {
    const clock = new SimClock();
    const asked: string[] = [];
    const responses = await clock.finish(
      'request',
      requestQuorum({
        clock,
        replicas: ids,
        quorum: 1,
        hedgeAfterMs,
        send: (id) => {
          asked.push(id);
          if (id === 'a') return after(clock, hedgeAfterMs * 2.5, id);
          if (id === 'b') return after(clock, hedgeAfterMs * 3, id);
          return after(clock, hedgeAfterMs * 3, id).then(failure);
        },
      }),
      10000,
    );
    assert.equal([...responses.keys()], ['a']);
    await clock.run(10000);
    assert.equal([...responses.keys()], ['a']);
    assert.equal(asked, ['a', 'b', 'c']);
  },
);

quorumRequests('without anybody to ask the request ends empty', async () => {
  const clock = new SimClock();
  const work = requestQuorum({ clock, replicas: [], quorum, hedgeAfterMs, send: failure });
  assert.is((await clock.finish('request', work, 1)).size, 0);
});

quorumRequests.run();
