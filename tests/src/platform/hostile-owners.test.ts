/** Crowds that make the owner of their slots hold more than they send, directly and through another front. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { until } from '@tillerstair/fleet';
import { call } from '../support/interface-calls.js';
import { outlastCrowds, type CrowdPlan } from '../support/crowd.js';
import {
  newAttempt,
  requestHead,
  startCrowdFixture,
  timeoutMs,
  type CrowdFixture,
} from '../support/crowd-fixture.js';

const owners = suite('crowds at the owners of slots');

let fixture: CrowdFixture;
/** The addresses of the fronts, in their order. */
const frontHosts = ['127.0.0.1', ...[5, 6, 7, 8, 9, 10].map((last) => `127.0.0.${last}`)];
const [, secondFront = ''] = frontHosts;
const frontCount = frontHosts.length;

owners.before.each(async () => {
  fixture = await startCrowdFixture({ frontCount });
});

owners.after.each(() => fixture.close());

const crowdAt = (host: string, message: () => string, overrides: Partial<CrowdPlan> = {}) => ({
  port: fixture.system.ports.front,
  host,
  clients: 60,
  rounds: 4,
  message,
  ...overrides,
});

const programLines = (program: string): readonly string[] => [
  ...[`Program: ${program}`, 'Token-Count: 10,20'],
];

/** Sends one turn and waits until it is done; returns its attempt. */
const sendTurn = async (program: string, previous: string, body: string): Promise<string> => {
  let attempt = '';
  await until('a turn is done', timeoutMs, async () => {
    attempt = newAttempt();
    const headers = [
      ...['Try-Id', attempt, 'Time-Left-Ms', '3000', 'Program', program, 'Token-Count', '10,20'],
      ...(previous === '' ? [] : ['Previous-Turn', previous]),
    ];
    const { front } = fixture.system.ports;
    const response = await call(front, 'POST', '/turn/x', headers, body).catch(() => undefined);
    return response?.status === 200;
  });
  return attempt;
};

// Guards against small requests that name a long conversation, which the owner builds anew for each of them (heap).
owners('many requests that continue one long conversation', async () => {
  let previous = '';
  for (let turn = 0; turn < 20; turn++)
    previous = await sendTurn('long', previous, 'x'.repeat(200_000));
  const lines = [...programLines('long'), `Previous-Turn: ${previous}`, 'Content-Length: 0'];
  const message = (): string => requestHead('POST', '/turn/silent', lines);
  await outlastCrowds(fixture, [
    crowdAt('127.0.0.1', message, { clients: 100 }),
    crowdAt(secondFront, message, { clients: 100 }),
  ]);
});

// Guards against bodies that each front lets in and all forward to one owner (heap).
owners('large bodies through both fronts, to the owner of one slot', async () => {
  const body = 'x'.repeat(1_000_000);
  const lines = [...programLines('one'), `Content-Length: ${body.length}`];
  const message = (): string => requestHead('POST', '/turn/silent', lines) + body;
  await outlastCrowds(fixture, [crowdAt('127.0.0.1', message), crowdAt(secondFront, message)]);
});

// Guards against the same where each front lets in little, and there are many fronts (heap).
owners('large bodies through many fronts, to the owner of one slot', async () => {
  const body = 'x'.repeat(1_000_000);
  const lines = [...programLines('one'), `Content-Length: ${body.length}`];
  const message = (): string => requestHead('POST', '/turn/silent', lines) + body;
  await outlastCrowds(
    fixture,
    frontHosts.map((host) => crowdAt(host, message, { clients: 20, rounds: 6 })),
  );
});

// Guards against searches that each bring a long conversation of another program (heap).
owners('many programs that continue one long conversation of another', async () => {
  let previous = '';
  for (let turn = 0; turn < 20; turn++)
    previous = await sendTurn('other', previous, 'x'.repeat(200_000));
  const message = (): string =>
    requestHead('POST', '/turn/silent', [
      ...programLines(newAttempt()),
      ...[`Previous-Turn: ${previous}`, 'Content-Length: 0'],
    ]);
  await outlastCrowds(
    fixture,
    frontHosts.map((host) => crowdAt(host, message, { clients: 20 })),
  );
});

// Guards against answers that owners and fronts hold on their way, at all of them together (memory).
owners('long answers that nobody reads, to the owners of many slots', async () => {
  const message = (): string =>
    requestHead('POST', '/turn/long', [...programLines(newAttempt()), 'Content-Length: 0']);
  await outlastCrowds(fixture, [crowdAt('127.0.0.1', message), crowdAt(secondFront, message)]);
});

// Guards against answers of keyed operations that pass from one front to another as text (memory).
owners('long answers to keyed operations that nobody reads', async () => {
  const message = (): string =>
    requestHead('POST', '/keyed/long', [`Operation-Key: ${newAttempt()}`, 'Content-Length: 0']);
  await outlastCrowds(fixture, [
    crowdAt('127.0.0.1', message, { clients: 30 }),
    crowdAt(secondFront, message, { clients: 30 }),
  ]);
});

// Guards against a limit that a lone client meets whose conversation is long.
owners('a lone client continues its long conversation', async () => {
  let previous = '';
  for (let turn = 0; turn < 10; turn++)
    previous = await sendTurn('lone', previous, 'x'.repeat(100_000));
  assert.ok(previous !== '');
  const seen = fixture.servers.get('engines')?.seen ?? [];
  const largest = Math.max(...seen.map(({ body }) => body.length));
  assert.ok(largest >= 1_000_000, `${largest} bytes of conversation`);
});

owners.run();
