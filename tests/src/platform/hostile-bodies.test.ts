/** Crowds whose requests have bodies that never end, against a front. */
import { connect } from 'node:net';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { passHost } from '@tillerstair/sim';
import { call } from '../support/interface-calls.js';
import { outlastCrowds, type CrowdPlan } from '../support/crowd.js';
import {
  intakeLimits,
  newAttempt,
  requestHead,
  startCrowdFixture,
  type CrowdFixture,
} from '../support/crowd-fixture.js';

const bodies = suite('bodies that do not end');

let fixture: CrowdFixture;

bodies.before.each(async () => {
  fixture = await startCrowdFixture();
});

bodies.after.each(() => fixture.close());

const crowdOf = (message: () => string, overrides: Partial<CrowdPlan> = {}): CrowdPlan => ({
  port: fixture.system.ports.front,
  clients: 300,
  rounds: 3,
  message,
  ...overrides,
});

// Guards against connections that an incomplete body keeps open, so that nobody else is accepted.
bodies('more incomplete bodies than connections', async () => {
  const message = (): string => `${requestHead('POST', '/again/x', ['Content-Length: 100'])}x`;
  await outlastCrowds(fixture, [crowdOf(message)]);
});

// Guards against memory that is reserved for bodies that never come, so that all others are refused.
bodies('bodies of which only the length arrives', async () => {
  const message = (): string => `${requestHead('POST', '/again/x', ['Content-Length: 100000'])}x`;
  await outlastCrowds(fixture, [crowdOf(message, { clients: 230 })]);
});

// Guards against requests without a deadline of their own whose bodies never end.
bodies('incomplete bodies without a deadline', async () => {
  const head = ['POST /again/x HTTP/1.1', `Host: ${passHost}`, 'Content-Length: 100000'];
  const message = (): string => [...head, `Try-Id: ${newAttempt()}`, '\r\n'].join('\r\n') + 'x';
  await outlastCrowds(fixture, [crowdOf(message)]);
});

// Guards against requests that go on for clients that have left, and that nothing counts then (heap).
for (const route of ['once', 'keyed'])
  bodies(`large bodies to a silent server at /${route} of clients that leave`, async () => {
    const body = 'x'.repeat(1_000_000);
    const message = (): string => {
      const lines = [`Operation-Key: ${newAttempt()}`, `Content-Length: ${body.length}`];
      return requestHead('POST', `/${route}/silent`, lines) + body;
    };
    await outlastCrowds(fixture, [
      crowdOf(message, { clients: 20, rounds: 20, reads: true, leaves: true }),
    ]);
  });

// Guards against a limit that a lone client inside the documented limits meets.
bodies('a lone client is served, its body in tiny chunks or as large as allowed', async () => {
  const socket = connect(fixture.system.ports.front, '127.0.0.1');
  const chunks = '1\r\nx\r\n'.repeat(50_000);
  socket.write(requestHead('POST', '/again/x', ['Transfer-Encoding: chunked']));
  socket.write(`${chunks}0\r\n\r\n`);
  let received = '';
  for await (const text of socket.setEncoding('latin1')) {
    received += String(text);
    if (received.endsWith('x'.repeat(1000)) && received.length > 50_000) break;
  }
  assert.match(received, /^HTTP\/1\.1 200 /);
  const headers = ['Try-Id', newAttempt(), 'Time-Left-Ms', '3000'];
  const large = 'x'.repeat(intakeLimits.maxBodyBytes);
  const uploaded = await call(fixture.system.ports.front, 'POST', '/again/x', headers, large);
  assert.is(uploaded.status, 200);
  assert.is(uploaded.body.length, 'did '.length + large.length);
});

bodies.run();
