/** All crowds at once against one front: whatever each may take, together they must fit. */
import { suite } from 'uvu';
import { passHost } from '@tillerstair/sim';
import { outlastCrowds, type CrowdPlan } from '../support/crowd.js';
import {
  newAttempt,
  requestHead,
  startCrowdFixture,
  type CrowdFixture,
} from '../support/crowd-fixture.js';

const mix = suite('all crowds at once');

let fixture: CrowdFixture;

mix.after.each(() => fixture.close());

const bodyOf = (path: string, body: string, lines: readonly string[] = []): string =>
  requestHead('POST', path, [...lines, `Content-Length: ${body.length}`]) + body;

/** One crowd for each kind of thing that a front holds for its clients. */
const crowdsAt = (host: string, clients: number): readonly CrowdPlan[] => {
  const { front, ready } = fixture.system.ports;
  const body = 'x'.repeat(300_000);
  const turn = (): readonly string[] => [`Program: ${newAttempt()}`, 'Token-Count: 10,20'];
  const messages: readonly (readonly [message: () => string, rounds: number])[] = [
    [() => `POST /again/x HTTP/1.1\r\n${'a:\r\n'.repeat(7800)}`, 5],
    [() => requestHead('POST', '/again/silent', Array<string>(3900).fill('a:')), 5],
    [() => Array.from({ length: 500 }, () => requestHead('GET', '/again/silent')).join(''), 20],
    [() => `GET / HTTP/1.1\r\nHost: ${passHost}\r\n\r\n`.repeat(1500), 20],
    [() => bodyOf('/again/silent', body), 20],
    [() => bodyOf('/turn/x', body, turn()), 40],
    [() => requestHead('POST', '/once/long', ['Content-Length: 0']), 5],
    [() => requestHead('POST', '/live/long', ['Content-Length: 0']), 5],
    [() => requestHead('POST', '/turn/long', [...turn(), 'Content-Length: 0']), 5],
    [() => `${requestHead('POST', '/again/x', ['Content-Length: 200000'])}x`, 2],
  ];
  const crowds = messages.map(([message, rounds]) => ({
    port: front,
    host,
    clients,
    rounds,
    message,
  }));
  const checks = `GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n`.repeat(1000);
  return [...crowds, { port: ready, host, clients, rounds: 20, message: () => checks }];
};

// Guards against shares of one memory that add up to more than it.
mix('at one front', async () => {
  fixture = await startCrowdFixture();
  await outlastCrowds(fixture, crowdsAt('127.0.0.1', 20));
});

// Guards against the same where half of what a front holds comes through another front.
mix('at two fronts', async () => {
  fixture = await startCrowdFixture({ frontCount: 2 });
  await outlastCrowds(fixture, [...crowdsAt('127.0.0.1', 12), ...crowdsAt('127.0.0.5', 12)]);
});

// Guards against a heap that grows with its garbage beyond a machine that has less memory than the heap's limit.
mix('at a front whose heap may be larger than its machine', async () => {
  fixture = await startCrowdFixture({ machineMb: 168, heapMb: 200 });
  await outlastCrowds(fixture, crowdsAt('127.0.0.1', 20));
});

// Guards against data in the heap and buffers outside it that each fit, but not together.
mix('at a front with the heap of the deploy file', async () => {
  fixture = await startCrowdFixture({ machineMb: 310, heapMb: 200 });
  await outlastCrowds(fixture, crowdsAt('127.0.0.1', 20));
});

mix.run();
