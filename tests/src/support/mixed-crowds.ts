/** Crowds for everything that a front holds for its clients, to be sent all at once. */
import { passHost } from '@tillerstair/sim';
import type { CrowdPlan } from './crowd.js';
import { newAttempt, requestHead, type CrowdFixture } from './crowd-fixture.js';

const bodyOf = (path: string, body: string, lines: readonly string[] = []): string =>
  requestHead('POST', path, [...lines, `Content-Length: ${body.length}`]) + body;

/** One crowd for each kind of thing that a front holds for its clients. */
export const mixedCrowdsAt = (
  { system }: CrowdFixture,
  host: string,
  clients: number,
): readonly CrowdPlan[] => {
  const { front, ready } = system.ports;
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
