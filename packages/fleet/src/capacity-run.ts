/** Lists and runs the sweeps of `fleet capacity`. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { jsonOf, measureSizes, tableOfFits, type Sweep } from './capacity.js';
import { costSweeps } from './capacity-cost.js';
import { svgOf } from './capacity-plot.js';
import { socketSweeps } from './capacity-sockets.js';
import { workSweeps } from './capacity-work.js';
import { deploymentSweeps } from './capacity-traffic.js';

/** All sweeps, keyed by name. */
export const sweeps: ReadonlyMap<string, Sweep> = new Map([
  ...deploymentSweeps,
  ...workSweeps,
  ...costSweeps,
  ...socketSweeps,
]);

/** A request to run one sweep. */
export interface SweepRequest {
  readonly name: string;
  /** The sizes to measure; the sweep's own if empty. */
  readonly sizes: readonly number[];
  /** The folder for `<name>.json` and `<name>.svg`; nothing is written if empty. */
  readonly out: string;
}

/** Runs one sweep, reports its fits and writes its files; throws if the sweep does not exist. */
export const runSweep = async (
  { name, sizes, out }: SweepRequest,
  report: (line: string) => void,
): Promise<void> => {
  const sweep = sweeps.get(name);
  if (!sweep) throw new Error(`unknown sweep ${name}; see fleet capacity list`);
  const result = await measureSizes(name, sweep, sizes.length > 0 ? sizes : sweep.sizes, report);
  for (const line of tableOfFits(result)) report(line);
  if (out === '') return;
  mkdirSync(out, { recursive: true });
  writeFileSync(join(out, `${name}.json`), jsonOf(result));
  writeFileSync(join(out, `${name}.svg`), await svgOf(result));
};

/** Returns a line of text for each sweep: its name, kind and description. */
export const listSweeps = (): readonly string[] =>
  [...sweeps].map(([name, sweep]) => `${name.padEnd(16)} ${sweep.how.padEnd(10)} ${sweep.about}`);
