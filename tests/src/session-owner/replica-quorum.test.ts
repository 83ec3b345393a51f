/** A request to a quorum asks no more replicas at a time than the quorum needs, and replaces failed and late ones. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { requestQuorum } from '@tillerstair/wire';
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

/** Runs one request in simulated time; `reply` is each replica's response or failure. */
const request = async (
  reply: (id: string, clock: SimClock) => Promise<string>,
): Promise<Outcome> => {
  const clock = new SimClock();
  const asked: string[] = [];
  const startedAt = clock.now();
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
  return { asked, responses, tookMs: clock.now() - startedAt };
};

/** A response that arrives after a delay. */
const respondAfter = (clock: SimClock, delayMs: number, text: string): Promise<string> =>
  new Promise((resolve) => {
    clock.after(delayMs, () => resolve(text));
  });
const failure = (): Promise<string> => Promise.reject(new Error('unavailable'));

quorumRequests('only a quorum is asked when all replicas reply', async () => {
  const { asked, responses } = await request((id, clock) => respondAfter(clock, 10, id));
  assert.equal(asked, ['a', 'b', 'c']);
  assert.equal([...responses.keys()], ['a', 'b', 'c']);
});

quorumRequests('a replica that fails is replaced immediately', async () => {
  const { asked, responses, tookMs } = await request((id, clock) =>
    id === 'b' ? failure() : respondAfter(clock, 10, id),
  );
  assert.equal(asked, ['a', 'b', 'c', 'd']);
  assert.equal([...responses.keys()].sort(), ['a', 'c', 'd']);
  assert.ok(tookMs < hedgeAfterMs);
});

quorumRequests('a late replica is replaced after the hedging interval', async () => {
  const { asked, responses, tookMs } = await request((id, clock) =>
    respondAfter(clock, id === 'a' ? 5000 : 10, id),
  );
  assert.equal(asked, ['a', 'b', 'c', 'd']);
  assert.equal([...responses.keys()].sort(), ['b', 'c', 'd']);
  assert.ok(tookMs < hedgeAfterMs * 2);
});

quorumRequests(
  'the request ends with fewer responses than a quorum when all replicas have been asked',
  async () => {
    const { asked, responses } = await request((id, clock) =>
      id < 'd' ? failure() : respondAfter(clock, 10, id),
    );
    assert.equal(asked, ids);
    assert.equal([...responses.keys()].sort(), ['d', 'e']);
  },
);

quorumRequests(
  'after the end of the request, a response is ignored and a failure asks no further replica',
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
          if (id === 'a') return respondAfter(clock, hedgeAfterMs * 2.5, id);
          if (id === 'b') return respondAfter(clock, hedgeAfterMs * 3, id);
          return respondAfter(clock, hedgeAfterMs * 3, id).then(failure);
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

quorumRequests('without replicas the request ends with no responses', async () => {
  const clock = new SimClock();
  const work = requestQuorum({ clock, replicas: [], quorum, hedgeAfterMs, send: failure });
  assert.is((await clock.finish('request', work, 1)).size, 0);
});

quorumRequests.run();
