/** Crowds that send request after request without awaiting the answers, against the clients' listener of a front. */
import { connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { passHost } from '@tillerstair/sim';
import { outlastCrowds, type CrowdPlan } from '../support/crowd.js';
import {
  newAttempt,
  requestHead,
  startCrowdFixture,
  type CrowdFixture,
} from '../support/crowd-fixture.js';

const pipelines = suite('request after request, answers not awaited');

let fixture: CrowdFixture;
const clients = 60;
/** One read of a socket at most, so that a whole message may be parsed at once. */
const messageBytes = 60_000;

/** As many of the texts that `next` returns as fit into one message. */
const pipelineOf = (next: () => string): string => {
  const first = next();
  const count = Math.max(1, Math.floor(messageBytes / first.length));
  return first + Array.from({ length: count - 1 }, next).join('');
};

const crowdAt = (port: number, message: () => string, rounds = 20): CrowdPlan => ({
  port,
  clients,
  rounds,
  message,
});

pipelines.before.each(async () => {
  fixture = await startCrowdFixture();
});

pipelines.after.each(() => fixture.close());

const short = (line: string, ...lines: readonly string[]): string =>
  [line, ...lines, '\r\n'].join('\r\n');

// Guards against requests under way that are counted by their bytes alone, however many there are (heap).
pipelines('requests to a silent server', async () => {
  const message = (): string =>
    pipelineOf(() => requestHead('POST', '/again/silent', ['Content-Length: 0']));
  await outlastCrowds(fixture, [crowdAt(fixture.system.ports.front, message)]);
});

// Guards against answers of the front itself that pile up for clients that do not read (heap).
for (const [title, next] of [
  ['without a route', () => short('GET / HTTP/1.1', 'Host: x', `Try-Id: ${newAttempt()}`)],
  ['without an attempt', () => short('GET /again/x HTTP/1.1', `Host: ${passHost}`)],
  ['without a host', () => short('GET / HTTP/1.1')],
  ['with an unknown expectation', () => short('GET / HTTP/1.1', 'Host: x', 'Expect: more')],
] as const)
  pipelines(`requests ${title}, behind one at a silent server`, async () => {
    const message = (): string => requestHead('GET', '/again/silent') + pipelineOf(next);
    await outlastCrowds(fixture, [crowdAt(fixture.system.ports.front, message)]);
  });

// Guards against heads that nothing counts while an earlier request of their connection is pending (heap).
pipelines('an incomplete head behind a request at a silent server', async () => {
  const message = (): string =>
    requestHead('GET', '/again/silent') + `GET / HTTP/1.1\r\n${'a:\r\n'.repeat(7800)}`;
  const crowd = crowdAt(fixture.system.ports.front, message, 5);
  await outlastCrowds(fixture, [{ ...crowd, clients: 200 }]);
});

// Guards against bodies in tiny chunks that are kept as one object a chunk while nobody reads them (memory).
pipelines('a body in tiny chunks behind a request at a silent server', async () => {
  const message = (): string =>
    requestHead('GET', '/again/silent') +
    requestHead('POST', '/again/silent', ['Transfer-Encoding: chunked']) +
    '1\r\nx\r\n'.repeat(9900);
  const crowd = crowdAt(fixture.system.ports.front, message, 5);
  await outlastCrowds(fixture, [{ ...crowd, clients: 200 }]);
});

// Guards against the same at the listener of health checks (heap).
pipelines('health checks', async () => {
  const message = (): string => pipelineOf(() => short('GET /readiness HTTP/1.1', 'Host: x'));
  await outlastCrowds(fixture, [crowdAt(fixture.system.ports.ready, message)]);
});

// Guards against a limit that a lone client meets that does not await its answers.
pipelines('a lone client gets the answers to all its requests, in order', async () => {
  const attempts = Array.from({ length: 200 }, newAttempt);
  const socket = connect(fixture.system.ports.front, '127.0.0.1');
  let received = '';
  socket.setEncoding('latin1');
  for (const attempt of attempts)
    socket.write(
      short(
        'POST /again/x HTTP/1.1',
        `Host: ${passHost}`,
        `Try-Id: ${attempt}`,
        'Content-Length: 1',
      ) + 'x',
    );
  for await (const text of socket) {
    received += String(text);
    if (received.split('did x').length > attempts.length) break;
  }
  const answered = [...received.matchAll(/^Try-Id: (.*)\r$/gm)].map(([, attempt]) => attempt);
  assert.equal(answered, attempts);
  assert.is(received.split('HTTP/1.1 200 ').length - 1, attempts.length);
});

pipelines.run();
