/** The sweeps that `fleet capacity` runs. */
import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { jsonOf, measureSizes, tableOfFits, type Sweep } from './capacity.js';
import { costSweeps } from './capacity-cost.js';
import { svgOf } from './capacity-plot.js';
import { socketSweeps } from './capacity-sockets.js';
import { workSweeps } from './capacity-work.js';
import { deploymentSweeps } from './capacity-traffic.js';

/** All sweeps by name. */
export const sweeps: ReadonlyMap<string, Sweep> = new Map([
  ...deploymentSweeps,
  ...workSweeps,
  ...costSweeps,
  ...socketSweeps,
]);

/** Which sweep to run, at which sizes (its own if there are none), and the folder that its results go to. */
export interface SweepRequest {
  readonly name: string;
  readonly sizes: readonly number[];
  readonly out: string;
}

/** Runs one sweep and prints its fits; throws if there is no such sweep. */
export const runSweep = async (
  { name, sizes, out }: SweepRequest,
  say: (line: string) => void,
): Promise<void> => {
  const s = sweeps.get(name);
  if (!s) throw new Error(`no sweep ${name}; see fleet capacity list`);
  const swept = await measureSizes(name, s, sizes.length > 0 ? sizes : s.sizes, say);
  for (const line of tableOfFits(swept)) say(line);
  if (out === '') return;
  mkdirSync(out, { recursive: true });
  writeFileSync(join(out, `${name}.json`), jsonOf(swept));
  writeFileSync(join(out, `${name}.svg`), await svgOf(swept));
};

/** A line for each sweep. */
export const listSweeps = (): readonly string[] =>
  [...sweeps].map(([name, s]) => `${name.padEnd(16)} ${s.how.padEnd(10)} ${s.about}`);
