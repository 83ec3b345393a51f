/** How a front passes a request on to the owner of its slot, and what it makes of the outcome. */
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

const forwarding = suite('a request that another front owns');

const never = new AbortController().signal;
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

/** Forwards a stream to an owner that sends chunks with these numbers and ends as `outcome` says. */
const streamed = async (numbers: readonly number[], outcome: unknown) => {
  const rig = createFrontFixture();
  rig.take(stateFor('g'));
  const emitted: string[] = [];
  rig.transport.answer = ({ bounds }) => {
    for (const n of numbers) bounds.onChunk?.({ n, text: `${n}` });
    return Promise.resolve(outcome);
  };
  const ended = await rig.clock.finish(
    'forwarded',
    rig.front.forward(request(), (_n, text) => emitted.push(text), never),
    10000,
  );
  return { ended, emitted };
};

forwarding('a stream that arrives whole is done', async () => {
  const { ended, emitted } = await streamed([0, 1, 2], doneAfter(3));
  assert.is(ended.outcome, 'done');
  assert.equal(emitted, ['0', '1', '2']);
});

forwarding('a stream with a gap, a repeat or another count is broken off', async () => {
  for (const [numbers, chunks, expected] of [
    [[0, 2], 2, ['0']],
    [[0, 2], 1, ['0']],
    [[0, 0], 2, ['0']],
    [[0, 1], 3, ['0', '1']],
    [[], 1, []],
  ] as const) {
    const { ended, emitted } = await streamed(numbers, doneAfter(chunks));
    assert.equal([ended.outcome, ended.errorCode], ['unknown', 'broken-off'], numbers.join());
    assert.equal(emitted, expected);
  }
});

/** Forwards to owners that fail with these errors in turn; the last one for good. */
const failing = async (
  errors: readonly Error[],
  gone: AbortSignal = never,
): Promise<{ ended: CallOutcome; calls: number; took: number }> => {
  const rig = createFrontFixture();
  rig.take(stateFor('g'));
  let next = 0;
  rig.transport.answer = () =>
    Promise.reject(errors[Math.min(next++, errors.length - 1)] ?? new Error('none'));
  const from = rig.clock.now();
  const ended = await rig.clock.finish(
    'forwarded',
    rig.front.forward(request('front/keyed'), () => undefined, gone),
    10000,
  );
  return { ended, calls: rig.transport.calls.length, took: rig.clock.now() - from };
};

forwarding('errors that pass are tried again for a moment', async () => {
  for (const error of [
    new OwnershipError('not-owner', 'x'),
    new OwnershipError('taking-over', 'x'),
    new OwnershipError('route-unknown', 'x'),
    new ConnectionRefusedError('g'),
  ]) {
    const { ended, calls, took } = await failing([error]);
    assert.equal([ended.outcome, ended.status], ['refused', 503]);
    assert.ok(calls > 2, error.message);
    assert.ok(took >= heartbeatInterval && took <= heartbeatInterval * 2, `${took}`);
  }
});

forwarding('an error that does not pass is told at once', async () => {
  for (const [error, outcome] of [
    [new UnavailableError('unavailable', 'x'), 'refused'],
    [new AdmissionError('queue-full', 'x'), 'refused'],
    [new ConnectionLostError('g'), 'unknown'],
  ] as const) {
    const { ended, calls } = await failing([error]);
    assert.equal([ended.outcome, calls], [outcome, 1]);
  }
});

forwarding('a request whose caller is gone is not tried again', async () => {
  const { calls } = await failing([new OwnershipError('not-owner', 'x')], AbortSignal.abort());
  assert.is(calls, 1);
});

forwarding('a front without a lease forwards nothing', async () => {
  const rig = createFrontFixture();
  rig.take(stateFor('g'));
  await rig.clock.run(readLease);
  const ended = await rig.clock.finish(
    'refused',
    rig.front.forward(request(), () => undefined, never),
    10000,
  );
  assert.equal([ended.outcome, ended.errorCode], ['refused', 'not-ready']);
  assert.is(rig.transport.calls.length, 0);
});

/** Forwards to owner `g`, which sends `chunks` and then leaves the cluster; `h` owns its slots from then on. */
const ownerLeaves = async (chunks: number, next: () => Promise<unknown>) => {
  const rig = createFrontFixture();
  rig.take(stateFor('g'));
  rig.transport.answer = ({ to, bounds }) => {
    if (to !== 'g:2') return next();
    for (let n = 0; n < chunks; n++) bounds.onChunk?.({ n, text: 'x' });
    return new Promise((_, fail) => {
      bounds.signal?.addEventListener('abort', () => fail(new ConnectionLostError(to)));
    });
  };
  const forwarded = rig.front.forward(request(), () => undefined, never);
  await rig.clock.run(10);
  const state = stateFor('h');
  rig.take({ ...state, nodes: new Map([...state.nodes].filter(([id]) => id !== 'g')) });
  const ended = await rig.clock.finish('forwarded', forwarded, 10000);
  return { ended, to: rig.transport.calls.map((call) => call.to) };
};

forwarding(
  'what an owner that left had not begun to answer is asked for at the next one',
  async () => {
    const { ended, to } = await ownerLeaves(0, () => Promise.resolve(doneAfter(0)));
    assert.is(ended.outcome, 'done');
    assert.equal(to, ['g:2', 'h:2']);
  },
);

forwarding('what an owner that left may have run is never told as refused', async () => {
  const { ended } = await ownerLeaves(0, () =>
    Promise.reject(new UnavailableError('unavailable', 'x')),
  );
  assert.equal([ended.outcome, ended.status], ['unknown', 504]);
});

forwarding('a stream that has begun is not asked for again', async () => {
  const { ended, to } = await ownerLeaves(1, () => Promise.resolve(doneAfter(1)));
  assert.is(ended.outcome, 'unknown');
  assert.equal(to, ['g:2']);
});

forwarding.run();
