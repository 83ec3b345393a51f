/**
 * LOST: a program goes on from a turn of another one, and then rests while many users come at once. When its turns are
 * dropped, the stores no longer find the other program's turns by their ids, although they keep them: a third program
 * that goes on from a turn of some seconds ago gets 404.
 */
import {
  hasTrouble,
  NotRunError,
  engineOf,
  routeOf,
  configurationOf,
  runCase,
  serviceOf,
} from '../lib-2/case.mjs';
import { askTurn } from '../lib-2/clients.mjs';
import { delay } from '../lib-2/deployment.mjs';
import { Server, streamEvents } from '../lib-2/servers.mjs';

const bodyBytes = 64000;
/** `burst` of the site file: 2.1 times the traffic for 4 s; the sheet has 21.56 turns a second. */
const burstMs = 4000;
const burstsAtMs = [2000, 10000, 18000];
const turnsPerSecond = 2.1 * 21.56;
/** The turns of the long conversation; each follows the one before within the 60 s of `retainS`. */
const laterTurnsAtMs = [26000, 50000, 74000];
const thirdProgramAtMs = 79000;

const playBurst = async (trial, record, burst) => {
  const turns = Math.floor((turnsPerSecond * burstMs) / 1000);
  const asked = [];
  for (let i = 0; i < turns; i++) {
    const tryId = `burst-${burst}-${i}`;
    const turn = { tryId, program: `prog-${tryId}`, body: 'x'.repeat(bodyBytes) };
    asked.push(askTurn(trial.fronts[i % trial.fronts.length], record, turn));
    await delay(1000 / turnsPerSecond);
  }
  await Promise.all(asked);
};

await runCase(import.meta.dirname, async (trial, record) => {
  const bodies = new Map();
  const onRun = ({ tryId, server, body }) => {
    bodies.set(tryId, body.toString('latin1'));
    record.add('run', { tryId, server, bytes: body.length });
  };
  const servers = ['m-1', 'm-2', 'm-3', 'm-4'].map(
    (id) => new Server('llm', id, { onRun, respond: streamEvents() }),
  );
  const route = routeOf('r-chat', 'streamed', '/chat/', 'llm', {
    retained: true,
    resumable: true,
    deadlineMs: 4000,
  });
  const service = serviceOf('llm', { engine: engineOf(16) });
  await trial.start({ fronts: 8, servers, configuration: configurationOf(1, [route], [service]) });
  const startedAt = Date.now();
  const at = (ms) => delay(Math.max(0, startedAt + ms - Date.now()));
  const expectServed = async (turn) => {
    const answer = await askTurn(trial.fronts[1], record, turn);
    if (answer.status !== 200 || !answer.complete) throw new NotRunError(`${turn.tryId} failed`);
  };
  await expectServed({ tryId: 'a-1', program: 'long', body: 'one ' });
  await expectServed({ tryId: 'b-1', program: 'short', after: 'a-1', body: 'other ' });
  const bursts = burstsAtMs.map(async (ms, burst) => {
    await at(ms);
    if (hasTrouble) await playBurst(trial, record, burst);
  });
  for (const [i, ms] of laterTurnsAtMs.entries()) {
    await at(ms);
    await expectServed({
      tryId: `a-${i + 2}`,
      program: 'long',
      after: `a-${i + 1}`,
      body: `${i + 2} `,
    });
  }
  await Promise.all(bursts);
  await at(thirdProgramAtMs);
  const newest = `a-${laterTurnsAtMs.length + 1}`;
  const third = { tryId: 'c-1', program: 'third', after: newest, body: 'third ' };
  const { status } = await askTurn(trial.fronts[2], record, third);
  await expectServed({ tryId: 'a-9', program: 'long', after: newest, body: 'last ' });
  record.add('seen', {
    third: status,
    bodyOfThird: bodies.get('c-1'),
    bodyOfLong: bodies.get('a-9'),
  });
  return status === 404 || status === 410
    ? `LOST: ${newest} was answered whole 5 s before, and a turn that goes on from it got ${status}`
    : '';
});
