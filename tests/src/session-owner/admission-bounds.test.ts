/** The number and the time of waiting requests are bounded, and no later request overtakes a waiting one. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { AdmissionQueue } from '@tillerstair/session-owner';
import { SimClock } from '@tillerstair/sim';
import { createAbortController, RpcError } from '@tillerstair/wire';

const admission = suite('bounds of the admission queue');

/** An admission queue for servers that become free when the test releases them. */
class QueueFixture {
  readonly clock = new SimClock();
  readonly queue: AdmissionQueue<string>;
  /** Names of requests that have ended, in order, with the error code of those that were rejected. */
  readonly ended: string[] = [];
  /** Number of free servers. */
  free = 0;

  constructor(maxWaiting: number) {
    this.queue = new AdmissionQueue<string>(this.clock, () => maxWaiting);
  }

  enter(
    name: string,
    timeoutMs = 1000,
    signal = createAbortController().signal,
    isUrgent = false,
  ): void {
    const pick = (): string | undefined => (this.free > 0 ? (this.free--, 'server') : undefined);
    this.queue.enter({ isUrgent, timeoutMs, signal, pick }).then(
      () => this.ended.push(name),
      (error: unknown) =>
        this.ended.push(`${name} ${error instanceof RpcError ? error.code : String(error)}`),
    );
  }

  /** Lets `afterMs` elapse, then frees one server. */
  async release(afterMs: number): Promise<void> {
    await this.clock.run(afterMs);
    this.free++;
    this.queue.admitWaiting();
    await this.clock.runReadyTasks();
  }
}

admission('the number of waiting requests is bounded for each class separately', async () => {
  const fixture = new QueueFixture(2);
  for (const name of ['a', 'b', 'c']) fixture.enter(name);
  fixture.enter('urgent', 1000, undefined, true);
  await fixture.clock.runReadyTasks();
  assert.equal(fixture.ended, ['c queue-full']);
  assert.is(fixture.queue.waiting, 3);
});

admission('a request waits no longer than its timeout', async () => {
  const fixture = new QueueFixture(10);
  fixture.enter('a', 200);
  await fixture.clock.run(199);
  assert.equal(fixture.ended, []);
  await fixture.clock.run(1);
  assert.equal(fixture.ended, ['a queue-timeout']);
  assert.is(fixture.queue.waiting, 0);
});

admission('a request whose estimated wait exceeds its timeout is refused immediately', async () => {
  const fixture = new QueueFixture(10);
  for (const name of ['a', 'b', 'c']) fixture.enter(name, 10_000);
  await fixture.release(300);
  fixture.enter('short-timeout', 500);
  fixture.enter('long-timeout', 2000);
  await fixture.clock.runReadyTasks();
  assert.equal(fixture.ended, ['a', 'short-timeout queue-timeout']);
  assert.is(fixture.queue.waiting, 3);
});

admission('the first request in the queue is not refused by an estimate', async () => {
  const fixture = new QueueFixture(10);
  for (const name of ['a', 'b']) fixture.enter(name, 10_000);
  await fixture.release(300);
  await fixture.release(300);
  fixture.enter('short-timeout', 10);
  await fixture.clock.runReadyTasks();
  assert.equal(fixture.ended, ['a', 'b']);
  assert.is(fixture.queue.waiting, 1);
  fixture.queue.rejectOverdue();
  await fixture.clock.runReadyTasks();
  assert.is(fixture.queue.waiting, 1);
});

admission(
  'requests that are expected to miss their deadline are rejected, but never the first',
  async () => {
    const fixture = new QueueFixture(10);
    for (const name of ['a', 'b']) fixture.enter(name, 100_000);
    fixture.enter('c', 2000);
    await fixture.release(100);
    await fixture.clock.run(1000);
    fixture.queue.rejectOverdue();
    await fixture.clock.runReadyTasks();
    assert.equal(fixture.ended, ['a', 'c queue-timeout']);
    assert.is(fixture.queue.waiting, 1);
    assert.ok(fixture.clock.now() < 1000 + 2000);
  },
);

admission('a later request does not overtake a waiting one', async () => {
  const fixture = new QueueFixture(10);
  fixture.enter('a');
  fixture.free = 1;
  fixture.enter('b');
  await fixture.clock.runReadyTasks();
  assert.equal(fixture.ended, ['a']);
});

admission('a request leaves the queue when its caller disconnects', async () => {
  const fixture = new QueueFixture(1);
  const caller = createAbortController();
  fixture.enter('a', 1000, caller.signal);
  caller.abort();
  await fixture.clock.runReadyTasks();
  assert.equal(fixture.ended, ['a gone']);
  assert.is(fixture.queue.waiting, 0);
  fixture.enter('b');
  await fixture.release(1);
  assert.equal(fixture.ended, ['a gone', 'b']);
});

admission('an error of pick rejects only its own request', async () => {
  const fixture = new QueueFixture(10);
  const failingPick = (): string => {
    throw new RpcError('no-server', 'none');
  };
  const codeOf = (work: Promise<string>): Promise<string> =>
    work.catch((error: unknown) => (error instanceof RpcError ? error.code : 'other'));
  const request = {
    isUrgent: false,
    timeoutMs: 1000,
    signal: createAbortController().signal,
    pick: failingPick,
  };
  assert.is(await codeOf(fixture.queue.enter(request)), 'no-server');
  fixture.enter('a');
  const second = codeOf(fixture.queue.enter(request));
  await fixture.release(1);
  assert.is(await second, 'no-server');
  assert.equal(fixture.ended, ['a']);
});

admission.run();
