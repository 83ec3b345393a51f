/** The mark before a request's first byte: what may be sent again follows from it (docs/answers-and-connections.md). */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Dispatcher } from 'undici';
import { SendGuard, RequestWithdrawnError } from '@tillerstair/proxy';

const departure = suite('whether a request may have left for its server');

const options: Dispatcher.DispatchOptions = { path: '/', method: 'POST' };
const noHandler: Dispatcher.DispatchHandler = {};

/** Lets `guard` see the moment before the first byte as the HTTP client does. */
const writeOnce = (guarded: SendGuard): void => {
  guarded.interceptor((_options, handler) => {
    // eslint-disable-next-line @typescript-eslint/no-deprecated -- the calls that undici makes to an interceptor
    handler.onConnect?.(() => undefined);
    return true;
  })(options, noHandler);
};

departure('a request has not left before its first byte, and may have from then on', () => {
  const one = new SendGuard(() => true, new AbortController().signal);
  assert.is(one.mayHaveBeenSent, false);
  writeOnce(one);
  assert.is(one.mayHaveBeenSent, true);
});

departure('a request is written to a connection once at most', () => {
  const one = new SendGuard(() => true, new AbortController().signal);
  writeOnce(one);
  assert.throws(
    () => writeOnce(one),
    (e: unknown) => e instanceof Error && !(e instanceof RequestWithdrawnError),
  );
});

departure('a request that was given up never leaves', () => {
  const stop = new AbortController();
  const one = new SendGuard(() => true, stop.signal);
  stop.abort();
  assert.throws(
    () => writeOnce(one),
    (e: unknown) => e instanceof RequestWithdrawnError,
  );
  assert.is(one.mayHaveBeenSent, false);
});

departure('a request whose server may no longer be used never leaves', () => {
  let allowed = true;
  const one = new SendGuard(() => allowed, new AbortController().signal);
  allowed = false;
  assert.throws(
    () => writeOnce(one),
    (e: unknown) => e instanceof RequestWithdrawnError,
  );
  assert.is(one.mayHaveBeenSent, false);
});

departure('who waits for a queued request hears at once that it was given up', async () => {
  const stop = new AbortController();
  const one = new SendGuard(() => true, stop.signal);
  const waiting = one.rejectWhileQueued(new Promise(() => undefined)).catch((e: unknown) => e);
  stop.abort();
  assert.instance(await waiting, RequestWithdrawnError);
  const late = new SendGuard(() => true, stop.signal);
  const never = late.rejectWhileQueued(new Promise(() => undefined)).catch((e: unknown) => e);
  assert.instance(await never, RequestWithdrawnError);
});

departure(
  'a request that may have left ends as its answer does, though it was given up',
  async () => {
    const stop = new AbortController();
    const one = new SendGuard(() => true, stop.signal);
    let answer: (text: string) => void = () => undefined;
    const waiting = one.rejectWhileQueued(
      new Promise<string>((done) => {
        answer = done;
      }),
    );
    writeOnce(one);
    stop.abort();
    answer('its answer');
    assert.is(await waiting, 'its answer');
  },
);

departure.run();
