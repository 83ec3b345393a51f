/**
 * Runs the script of one case: writes `record.txt` into the case's folder, ends everything that was started, and exits
 * with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
 */
import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

const exitCodes = { held: 0, broken: 1, couldNotRun: 2 };
const caseTimeoutMs = 114000;

const withTimeout = (work) =>
  Promise.race([
    work,
    new Promise((_resolve, reject) => {
      setTimeout(() => reject(new Error('the case took too long')), caseTimeoutMs);
    }),
  ]);

/** What a case is given: the record, whether the disruption comes, and a place for what has to be stopped. */
const createContext = () => {
  const lines = [];
  const stops = [];
  const startedAt = Date.now();
  return {
    lines,
    stops,
    trouble: process.env.TROUBLE !== '0',
    note: (what, fields = {}) =>
      lines.push(JSON.stringify({ ms: Date.now() - startedAt, what, ...fields })),
    /** Has something stopped at the end, the last one first. */
    own: (thing) => {
      stops.push(thing);
      return thing;
    },
  };
};

/** Runs `play`, which resolves with the breaks that it found, and exits. */
export const runCase = async (folder, play) => {
  const context = createContext();
  const stopAll = async () => {
    for (const thing of context.stops.splice(0).reverse()) await thing.stop();
  };
  for (const signal of ['SIGTERM', 'SIGINT'])
    process.once(signal, () => void stopAll().finally(() => process.exit(exitCodes.couldNotRun)));
  let exitCode = exitCodes.couldNotRun;
  try {
    const breaks = await withTimeout(play(context));
    for (const found of breaks) context.note('RULE BROKEN', found);
    exitCode = breaks.length > 0 ? exitCodes.broken : exitCodes.held;
    context.note('verdict', { trouble: context.trouble, breaks: breaks.length });
  } catch (error) {
    context.note('could not run', { error: String(error?.stack ?? error) });
  }
  await stopAll();
  writeFileSync(join(folder, 'record.txt'), `${context.lines.join('\n')}\n`);
  process.stdout.write(`${context.lines.at(-1)}\n`);
  process.exit(exitCode);
};
