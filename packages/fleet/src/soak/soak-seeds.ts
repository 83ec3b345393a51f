/**
 * Runs the soaks of several seeds one after the other, and reports broken rules, request counts and order latencies.
 */
import { runSoak, type SoakResult } from './soak.js';
import type { SoakSizes } from './soak-plan.js';

/** The seeds, sizes and folder of a series of soaks. */
export interface SoakChoice {
  /** The first seed. */
  readonly seed: number;
  readonly count: number;
  readonly sizes: SoakSizes;
  /** The folder for settings, logs and data. */
  readonly dir: string;
}

const millisecondsPerSecond = 1000;
const clientsPerFront = 6;
/** From this number of fronts on there are five controls and five stores, which tolerate two failures each. */
const largeClusterFromFronts = 10;
const smallCluster = { controls: 3, stores: 3 };
const largeCluster = { controls: 5, stores: 5 };

/** The sizes of a soak with `fronts` fronts whose clients send requests for `seconds` seconds. */
export const soakSizesOf = (fronts: number, seconds: number): SoakSizes => ({
  ...(fronts < largeClusterFromFronts ? smallCluster : largeCluster),
  fronts,
  clients: fronts * clientsPerFront,
  trafficMs: seconds * millisecondsPerSecond,
});

const percentile = (sorted: readonly number[], share: number): number =>
  sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;

const outcomeCounts = ({ records }: SoakResult): string => {
  const counts = new Map<string, number>();
  for (const { pass } of records.requests) {
    const name = pass.reported === 'done' ? 'done' : `${pass.reported} ${pass.errorCode}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return [...counts]
    .sort()
    .map(([name, count]) => `${name} ${count}`)
    .join(', ');
};

const latencySummary = ({ records }: SoakResult): string => {
  const times = records.orders
    .map(({ sentAt, answeredAt }) => answeredAt - sentAt)
    .sort((a, b) => a - b);
  const [median, high, longest] = [1 / 2, 0.99, 1].map((share) =>
    Math.round(percentile(times, share)),
  );
  return `${times.length} orders, median ${median} ms, 99th ${high} ms, longest ${longest} ms`;
};

const summaryOf = (seed: number, result: SoakResult): readonly string[] => {
  const lines = result.results.flatMap(({ rule, breaches }) =>
    breaches.map((breach) => `  BREACHED ${rule}: ${breach}`),
  );
  const outcome = lines.length === 0 ? 'kept' : `${lines.length} breaches`;
  return [
    `seed ${seed}: ${outcome}; ${result.plan.steps.length} steps; ${outcomeCounts(result)}; ${latencySummary(result)}`,
    ...lines,
  ];
};

/**
 * Runs the soaks; resolves with whether all of them kept every rule. A soak whose fleet does not start counts as
 * broken.
 */
export const soakSeeds = async (
  { seed: first, count, sizes, dir }: SoakChoice,
  report: (line: string) => void,
): Promise<boolean> => {
  let broken = 0;
  for (let seed = first; seed < first + count; seed++) {
    try {
      const result = await runSoak({ seed, sizes, dir });
      for (const line of summaryOf(seed, result)) report(line);
      if (result.results.some(({ breaches }) => breaches.length > 0)) broken++;
    } catch (error) {
      report(
        `seed ${seed}: did not run: ${error instanceof Error ? error.message : String(error)}`,
      );
      broken++;
    }
  }
  report(`${count - broken} of ${count} soaks kept every rule`);
  return broken === 0;
};
