/** Waiting for a server is bounded in number and in time, and nobody who waits is overtaken from outside. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { AdmissionQueue } from '@tillerstair/session-owner';
import { SimClock } from '@tillerstair/sim';
import { createAbortController, RpcError } from '@tillerstair/wire';

const admission = suite('bounds of the admission queue');

/** A queue before servers that become free when the test says so. */
class QueueFixture {
  readonly clock = new SimClock();
  readonly queue: AdmissionQueue<string>;
  readonly ended: string[] = [];
  free = 0;

  constructor(mostWaiting: number) {
    this.queue = new AdmissionQueue<string>(this.clock, () => mostWaiting);
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

  /** One server becomes free after some time. */
  async release(afterMs: number): Promise<void> {
    await this.clock.run(afterMs);
    this.free++;
    this.queue.admitWaiting();
    await this.clock.runReadyTasks();
  }
}

admission('no more wait than the bound says, each class by itself', async () => {
  const fixture = new QueueFixture(2);
  for (const name of ['a', 'b', 'c']) fixture.enter(name);
  fixture.enter('urgent', 1000, undefined, true);
  await fixture.clock.runReadyTasks();
  assert.equal(fixture.ended, ['c queue-full']);
  assert.is(fixture.queue.waiting, 3);
});

admission('nobody waits longer than its time', async () => {
  const fixture = new QueueFixture(10);
  fixture.enter('a', 200);
  await fixture.clock.run(199);
  assert.equal(fixture.ended, []);
  await fixture.clock.run(1);
  assert.equal(fixture.ended, ['a queue-timeout']);
  assert.is(fixture.queue.waiting, 0);
});

admission('a request that would wait longer than its time is refused at once', async () => {
  const fixture = new QueueFixture(10);
  for (const name of ['a', 'b', 'c']) fixture.enter(name, 10_000);
  await fixture.release(300);
  fixture.enter('hasty', 500);
  fixture.enter('patient', 2000);
  await fixture.clock.runReadyTasks();
  assert.equal(fixture.ended, ['a', 'hasty queue-timeout']);
  assert.is(fixture.queue.waiting, 3);
});

admission('the first in line is not refused by an estimate', async () => {
  const fixture = new QueueFixture(10);
  for (const name of ['a', 'b']) fixture.enter(name, 10_000);
  await fixture.release(300);
  await fixture.release(300);
  fixture.enter('hasty', 10);
  await fixture.clock.runReadyTasks();
  assert.equal(fixture.ended, ['a', 'b']);
  assert.is(fixture.queue.waiting, 1);
  fixture.queue.rejectOverdue();
  await fixture.clock.runReadyTasks();
  assert.is(fixture.queue.waiting, 1);
});

admission(
  'a review refuses those whose turn cannot come in time, but never the first',
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

admission('who comes later does not overtake those who wait', async () => {
  const fixture = new QueueFixture(10);
  fixture.enter('a');
  fixture.free = 1;
  fixture.enter('b');
  await fixture.clock.runReadyTasks();
  assert.equal(fixture.ended, ['a']);
});

admission('a caller that leaves gives its place up', async () => {
  const fixture = new QueueFixture(1);
  const leaving = createAbortController();
  fixture.enter('a', 1000, leaving.signal);
  leaving.abort();
  await fixture.clock.runReadyTasks();
  assert.equal(fixture.ended, ['a gone']);
  assert.is(fixture.queue.waiting, 0);
  fixture.enter('b');
  await fixture.release(1);
  assert.equal(fixture.ended, ['a gone', 'b']);
});

admission('a pick that fails ends only its own request', async () => {
  const fixture = new QueueFixture(10);
  const refuse = (): string => {
    throw new RpcError('no-server', 'none');
  };
  const codeOf = (work: Promise<string>): Promise<string> =>
    work.catch((error: unknown) => (error instanceof RpcError ? error.code : 'other'));
  const request = {
    isUrgent: false,
    timeoutMs: 1000,
    signal: createAbortController().signal,
    pick: refuse,
  };
  assert.is(await codeOf(fixture.queue.enter(request)), 'no-server');
  fixture.enter('a');
  const second = codeOf(fixture.queue.enter(request));
  await fixture.release(1);
  assert.is(await second, 'no-server');
  assert.equal(fixture.ended, ['a']);
});

admission.run();
