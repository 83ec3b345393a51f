/** Replicas are asked as few at a time as a quorum needs. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { requestQuorum } from '@tillerstair/session-owner';
import { SimClock } from '@tillerstair/sim';

const quorumAsk = suite('asking a quorum of replicas');
const ids = ['a', 'b', 'c', 'd', 'e'];
const quorum = 3;
const hedgeAfterMs = 100;

interface Asked {
  readonly asked: readonly string[];
  readonly answers: ReadonlyMap<string, string>;
  readonly tookMs: number;
}

/** Runs one question in simulated time; `reply` answers after some ms or fails. */
const ask = async (reply: (id: string, clock: SimClock) => Promise<string>): Promise<Asked> => {
  const clock = new SimClock();
  const asked: string[] = [];
  const began = clock.now();
  const question = requestQuorum({
    clock,
    replicas: ids,
    quorum,
    hedgeAfterMs,
    send: (id) => {
      asked.push(id);
      return reply(id, clock);
    },
  });
  const answers = await clock.finish('question', question, 10000);
  return { asked, answers, tookMs: clock.now() - began };
};

const after = (clock: SimClock, ms: number, text: string): Promise<string> =>
  new Promise((done) => {
    clock.after(ms, () => done(text));
  });
const failure = (): Promise<string> => Promise.reject(new Error('away'));

quorumAsk('only a quorum is asked where all reply', async () => {
  const { asked, answers } = await ask((id, clock) => after(clock, 10, id));
  assert.equal(asked, ['a', 'b', 'c']);
  assert.equal([...answers.keys()], ['a', 'b', 'c']);
});

quorumAsk('one that fails is replaced at once', async () => {
  const { asked, answers, tookMs } = await ask((id, clock) =>
    id === 'b' ? failure() : after(clock, 10, id),
  );
  assert.equal(asked, ['a', 'b', 'c', 'd']);
  assert.equal([...answers.keys()].sort(), ['a', 'c', 'd']);
  assert.ok(tookMs < hedgeAfterMs);
});

quorumAsk('one that is late is not waited for', async () => {
  const { asked, answers, tookMs } = await ask((id, clock) =>
    after(clock, id === 'a' ? 5000 : 10, id),
  );
  assert.equal(asked, ['a', 'b', 'c', 'd']);
  assert.equal([...answers.keys()].sort(), ['b', 'c', 'd']);
  assert.ok(tookMs < hedgeAfterMs * 2);
});

quorumAsk('too few answers end the question with what there is', async () => {
  const { asked, answers } = await ask((id, clock) =>
    id < 'd' ? failure() : after(clock, 10, id),
  );
  assert.equal(asked, ids);
  assert.equal([...answers.keys()].sort(), ['d', 'e']);
});

quorumAsk('an answer after the end is left out, and a failure after it asks nobody', async () => {
  const clock = new SimClock();
  const asked: string[] = [];
  const answers = await clock.finish(
    'question',
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
  assert.equal([...answers.keys()], ['a']);
  await clock.run(10000);
  assert.equal([...answers.keys()], ['a']);
  assert.equal(asked, ['a', 'b', 'c']);
});

quorumAsk('without anybody to ask the question ends empty', async () => {
  const clock = new SimClock();
  const question = requestQuorum({ clock, replicas: [], quorum, hedgeAfterMs, send: failure });
  assert.is((await clock.finish('question', question, 1)).size, 0);
});

quorumAsk.run();
