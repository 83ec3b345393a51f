/** The mark set right before a request's first byte, which decides about retries (docs/answers-and-connections.md). */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Dispatcher } from 'undici';
import { SendGuard, RequestWithdrawnError } from '@tillerstair/proxy';

const guarding = suite('whether a request may have been sent');

const options: Dispatcher.DispatchOptions = { path: '/', method: 'POST' };
const noHandler: Dispatcher.DispatchHandler = {};

/** Calls `onConnect` of `guard`, as the HTTP client does right before the first byte. */
const writeOnce = (guard: SendGuard): void => {
  guard.interceptor((_options, handler) => {
    // eslint-disable-next-line @typescript-eslint/no-deprecated -- the calls that undici makes to an interceptor
    handler.onConnect?.(() => undefined);
    return true;
  })(options, noHandler);
};

guarding('a request may have been sent from its first byte on, and not before', () => {
  const guard = new SendGuard(() => true, new AbortController().signal);
  assert.is(guard.mayHaveBeenSent, false);
  writeOnce(guard);
  assert.is(guard.mayHaveBeenSent, true);
});

guarding('a request is written to a connection once at most', () => {
  const guard = new SendGuard(() => true, new AbortController().signal);
  writeOnce(guard);
  assert.throws(
    () => writeOnce(guard),
    (error: unknown) => error instanceof Error && !(error instanceof RequestWithdrawnError),
  );
});

guarding('a cancelled request is never sent', () => {
  const stop = new AbortController();
  const guard = new SendGuard(() => true, stop.signal);
  stop.abort();
  assert.throws(
    () => writeOnce(guard),
    (error: unknown) => error instanceof RequestWithdrawnError,
  );
  assert.is(guard.mayHaveBeenSent, false);
});

guarding('a request whose server may no longer be used is never sent', () => {
  let allowed = true;
  const guard = new SendGuard(() => allowed, new AbortController().signal);
  allowed = false;
  assert.throws(
    () => writeOnce(guard),
    (error: unknown) => error instanceof RequestWithdrawnError,
  );
  assert.is(guard.mayHaveBeenSent, false);
});

guarding('a queued request is rejected as soon as it is cancelled', async () => {
  const stop = new AbortController();
  const guard = new SendGuard(() => true, stop.signal);
  const waiting = guard
    .rejectWhileQueued(new Promise(() => undefined))
    .catch((error: unknown) => error);
  stop.abort();
  assert.instance(await waiting, RequestWithdrawnError);
  const lateGuard = new SendGuard(() => true, stop.signal);
  const lateWaiting = lateGuard
    .rejectWhileQueued(new Promise(() => undefined))
    .catch((error: unknown) => error);
  assert.instance(await lateWaiting, RequestWithdrawnError);
});

guarding('a cancelled request that may have been sent settles with its response', async () => {
  const stop = new AbortController();
  const guard = new SendGuard(() => true, stop.signal);
  let answer: (text: string) => void = () => undefined;
  const waiting = guard.rejectWhileQueued(
    new Promise<string>((resolve) => {
      answer = resolve;
    }),
  );
  writeOnce(guard);
  stop.abort();
  answer('the response');
  assert.is(await waiting, 'the response');
});

guarding.run();
