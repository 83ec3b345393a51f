/**
 * LOST: a store loses its disk, and one more loses its disk once the first has had `catchUpS`. The system fills the first
 * store again more slowly than that, so a slot is left with one replica and is never served again.
 */
import { rm, mkdir } from 'node:fs/promises';
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

const programs = ['prog-1'];
const turnsOfProgram = 260;
const bodyBytes = 64000;
const clients = 6;
const downMs = 1000;
/** `catchUpS` of the sheet, and a little more. */
const catchUpMs = 5000;
const recoverMs = 12000;
const retainMs = 60000;
const tries = 6;
const firstTurnsOfTry = 25;
const servedShareOfFirstTurns = 0.9;

/** A program has many turns, as its helpers run them side by side; resolves with its last turn. */
const haveTurns = async (trial, record) => {
  const last = new Map();
  const total = programs.length * turnsOfProgram;
  let next = 0;
  const client = async () => {
    while (next < total) {
      const number = next++;
      const program = programs[number % programs.length];
      const turn = { tryId: `turn-${number}`, program, body: 'x'.repeat(bodyBytes) };
      const answer = await askTurn(trial.fronts[number % trial.fronts.length], record, turn);
      if (answer.status !== 200 || !answer.complete) throw new NotRunError('a turn was not served');
      last.set(program, { tryId: turn.tryId, answeredAt: Date.now() });
    }
  };
  await Promise.all(Array.from({ length: clients }, client));
  return last;
};

/** The machine loses power and comes back at its address with an empty disk. */
const loseDisk = async (machine) => {
  const [program] = machine.programs;
  program.heldDown = true;
  machine.signal('SIGKILL');
  await delay(downMs);
  await rm(machine.data, { recursive: true, force: true });
  await mkdir(machine.data);
  machine.deployment.record('started with an empty disk', { machine: machine.name });
  machine.start();
};

const askFirstTurns = async (trial, record, attempt) => {
  const answers = await Promise.all(
    Array.from({ length: firstTurnsOfTry }, (_, i) =>
      askTurn(trial.fronts[i % trial.fronts.length], record, {
        tryId: `first-${attempt}-${i}`,
        program: `new-${attempt}-${i}`,
        body: 'hello',
      }),
    ),
  );
  return answers.filter(({ status }) => status === 200).length;
};

/** Goes on from each turn, in several tries at different fronts; resolves with the tries that reached a server. */
const goOn = async (trial, record, last) => {
  const served = new Map(programs.map((program) => [program, 0]));
  let firstServed = 0;
  for (let attempt = 0; attempt < tries; attempt++) {
    for (const [program, { tryId, answeredAt }] of last) {
      if (Date.now() - answeredAt > retainMs) throw new NotRunError('too late to go on');
      const turn = { tryId: `on-${program}-${attempt}`, program, after: tryId, body: 'go on' };
      const { status } = await askTurn(trial.fronts[attempt], record, turn);
      if (status === 200) served.set(program, served.get(program) + 1);
    }
    firstServed += await askFirstTurns(trial, record, attempt);
    await delay(500);
  }
  return { served, firstShare: firstServed / (tries * firstTurnsOfTry) };
};

await runCase(import.meta.dirname, async (trial, record) => {
  const onRun = ({ tryId, server }) => record.add('run', { tryId, server });
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
  const last = await haveTurns(trial, record);
  for (const store of trial.stores.slice(0, 2)) {
    if (hasTrouble) await loseDisk(store);
    await delay(catchUpMs);
  }
  await delay(recoverMs);
  const { served, firstShare } = await goOn(trial, record, last);
  record.add('seen', { servedTries: Object.fromEntries(served), firstShare });
  if (firstShare < servedShareOfFirstTurns)
    throw new NotRunError('too few first turns were served');
  const lost = programs.filter((program) => served.get(program) === 0);
  return lost.length === 0
    ? ''
    : `LOST: the turns of ${lost.join(', ')} reached no server in ${tries} tries, ${Math.round(firstShare * 100)}% of first turns did`;
});
