/** How a front forwards a request to the owner of its slot, which errors it retries, and which outcome it reports. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { CallOutcome } from '@tillerstair/session-owner';
import {
  AdmissionError,
  ConnectionLostError,
  ConnectionRefusedError,
  OwnershipError,
  UnavailableError,
} from '@tillerstair/wire';
import {
  createFrontFixture,
  heartbeatInterval,
  readLease,
  stateFor,
} from '../support/front-fixture.js';

const forwarding = suite('requests whose slot another front owns');

const neverAborted = new AbortController().signal;
const body = { left: 1000 };
const request = (kind: 'front/stream' | 'front/keyed' = 'front/stream') => ({
  kind,
  slotKey: 'p/x',
  body,
  timeoutMs: 4000,
});

const doneAfter = (chunks: number): unknown => ({
  outcome: 'done',
  status: 200,
  body: { end: { chunks } },
});

/** Forwards a stream to an owner that sends chunks with these numbers and ends with `outcome`. */
const forwardStream = async (numbers: readonly number[], outcome: unknown) => {
  const fixture = createFrontFixture();
  fixture.applyWithLease(stateFor('g'));
  const emitted: string[] = [];
  fixture.transport.answer = ({ bounds }) => {
    for (const index of numbers) bounds.onChunk?.({ n: index, text: `${index}` });
    return Promise.resolve(outcome);
  };
  const ended = await fixture.clock.finish(
    'forwarded',
    fixture.front.forward(request(), (_index, text) => emitted.push(text), neverAborted),
    10000,
  );
  return { ended, emitted };
};

forwarding('a stream that arrives complete is done', async () => {
  const { ended, emitted } = await forwardStream([0, 1, 2], doneAfter(3));
  assert.is(ended.outcome, 'done');
  assert.equal(emitted, ['0', '1', '2']);
});

forwarding(
  'a stream with a skipped or repeated chunk or a wrong count has an unknown outcome',
  async () => {
    for (const [numbers, chunks, expected] of [
      [[0, 2], 2, ['0']],
      [[0, 2], 1, ['0']],
      [[0, 0], 2, ['0']],
      [[0, 1], 3, ['0', '1']],
      [[], 1, []],
    ] as const) {
      const { ended, emitted } = await forwardStream(numbers, doneAfter(chunks));
      assert.equal([ended.outcome, ended.errorCode], ['unknown', 'broken-off'], numbers.join());
      assert.equal(emitted, expected);
    }
  },
);

/** Forwards to an owner that fails with these errors in turn and then always with the last one. */
const forwardToFailingOwner = async (
  errors: readonly Error[],
  callerSignal: AbortSignal = neverAborted,
): Promise<{ ended: CallOutcome; calls: number; elapsedMs: number }> => {
  const fixture = createFrontFixture();
  fixture.applyWithLease(stateFor('g'));
  let nextError = 0;
  fixture.transport.answer = () =>
    Promise.reject(errors[Math.min(nextError++, errors.length - 1)] ?? new Error('none'));
  const startedAt = fixture.clock.now();
  const ended = await fixture.clock.finish(
    'forwarded',
    fixture.front.forward(request('front/keyed'), () => undefined, callerSignal),
    10000,
  );
  return {
    ended,
    calls: fixture.transport.calls.length,
    elapsedMs: fixture.clock.now() - startedAt,
  };
};

forwarding('transient errors are retried for a limited time', async () => {
  for (const error of [
    new OwnershipError('not-owner', 'x'),
    new OwnershipError('taking-over', 'x'),
    new OwnershipError('route-unknown', 'x'),
    new ConnectionRefusedError('g'),
  ]) {
    const { ended, calls, elapsedMs } = await forwardToFailingOwner([error]);
    assert.equal([ended.outcome, ended.status], ['refused', 503]);
    assert.ok(calls > 2, error.message);
    assert.ok(elapsedMs >= heartbeatInterval && elapsedMs <= heartbeatInterval * 2, `${elapsedMs}`);
  }
});

forwarding('an error that is not transient is reported immediately', async () => {
  for (const [error, outcome] of [
    [new UnavailableError('unavailable', 'x'), 'refused'],
    [new AdmissionError('queue-full', 'x'), 'refused'],
    [new ConnectionLostError('g'), 'unknown'],
  ] as const) {
    const { ended, calls } = await forwardToFailingOwner([error]);
    assert.equal([ended.outcome, calls], [outcome, 1]);
  }
});

forwarding('a request whose caller disconnected is not retried', async () => {
  const { calls } = await forwardToFailingOwner(
    [new OwnershipError('not-owner', 'x')],
    AbortSignal.abort(),
  );
  assert.is(calls, 1);
});

forwarding('a front without a lease forwards nothing', async () => {
  const fixture = createFrontFixture();
  fixture.applyWithLease(stateFor('g'));
  await fixture.clock.run(readLease);
  const ended = await fixture.clock.finish(
    'refused',
    fixture.front.forward(request(), () => undefined, neverAborted),
    10000,
  );
  assert.equal([ended.outcome, ended.errorCode], ['refused', 'not-ready']);
  assert.is(fixture.transport.calls.length, 0);
});

/**
 * Forwards to owner `g`, which sends `chunks` chunks and leaves the cluster; then `h` owns its slots and replies
 * `nextReply`.
 */
const forwardToDepartingOwner = async (chunks: number, nextReply: () => Promise<unknown>) => {
  const fixture = createFrontFixture();
  fixture.applyWithLease(stateFor('g'));
  fixture.transport.answer = ({ to, bounds }) => {
    if (to !== 'g:2') return nextReply();
    for (let index = 0; index < chunks; index++) bounds.onChunk?.({ n: index, text: 'x' });
    return new Promise((_, reject) => {
      bounds.signal?.addEventListener('abort', () => reject(new ConnectionLostError(to)));
    });
  };
  const forwarded = fixture.front.forward(request(), () => undefined, neverAborted);
  await fixture.clock.run(10);
  const state = stateFor('h');
  fixture.applyWithLease({
    ...state,
    nodes: new Map([...state.nodes].filter(([id]) => id !== 'g')),
  });
  const ended = await fixture.clock.finish('forwarded', forwarded, 10000);
  return { ended, to: fixture.transport.calls.map((call) => call.to) };
};

forwarding(
  'a request whose owner left before it responded is forwarded to the next owner',
  async () => {
    const { ended, to } = await forwardToDepartingOwner(0, () => Promise.resolve(doneAfter(0)));
    assert.is(ended.outcome, 'done');
    assert.equal(to, ['g:2', 'h:2']);
  },
);

forwarding(
  'a request that a departed owner may have run is never reported as refused',
  async () => {
    const { ended } = await forwardToDepartingOwner(0, () =>
      Promise.reject(new UnavailableError('unavailable', 'x')),
    );
    assert.equal([ended.outcome, ended.status], ['unknown', 504]);
  },
);

forwarding('a stream that has started is not requested again', async () => {
  const { ended, to } = await forwardToDepartingOwner(1, () => Promise.resolve(doneAfter(1)));
  assert.is(ended.outcome, 'unknown');
  assert.equal(to, ['g:2']);
});

forwarding.run();
