/**
 * Capacity sweeps: measurements of the costs at several sizes of a deployment, with a fitted line for each measure, so
 * that the cost at a larger size can be extrapolated.
 */

/** Measured values, keyed by the name of the measure, which includes its unit. */
export type Values = ReadonlyMap<string, number>;

/** The values measured at one size. */
export interface Point {
  readonly size: number;
  readonly values: Values;
}

/** A measurement at several sizes, and the size for which its results are extrapolated. */
export interface Sweep {
  /** A one-line description, shown to users. */
  readonly about: string;
  /** The unit of the sizes, in the singular. */
  readonly by: string;
  /** Measured on the simulator, as processor time and memory of single steps, or on real sockets. */
  readonly how: 'simulated' | 'processor' | 'sockets';
  /** The sizes that are measured by default. */
  readonly sizes: readonly number[];
  /** Small sizes, for tests. */
  readonly small: readonly number[];
  /** The size that the deployment may grow to. */
  readonly grown: number;
  /** Measures all values at one size. */
  run(size: number): Promise<Values>;
}

/** A line fitted to the measured points of one measure; `grown` is its value at the size that may be grown to. */
export interface Fit {
  readonly measure: string;
  readonly base: number;
  readonly slope: number;
  readonly slopeSpread: number;
  readonly spread: number;
  readonly grown: number;
}

/** The result of a sweep: its points, the fitted lines, and the command that repeats it. */
export interface SweepResult {
  readonly sweep: string;
  readonly by: string;
  readonly how: Sweep['how'];
  readonly about: string;
  readonly command: string;
  readonly grown: number;
  readonly points: readonly Point[];
  readonly fits: readonly Fit[];
}

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

/**
 * Fits a line by least squares. `spread` is the standard deviation of the residuals, `slopeSpread` the standard error
 * of the slope.
 */
export const fitOf = (
  measure: string,
  points: readonly (readonly [number, number])[],
  grown: number,
): Fit => {
  const meanX = mean(points.map(([x]) => x));
  const meanY = mean(points.map(([, y]) => y));
  const squaresX = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const slope =
    squaresX === 0
      ? 0
      : points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0) / squaresX;
  const base = meanY - slope * meanX;
  const residualSquares = points.reduce((sum, [x, y]) => sum + (y - base - slope * x) ** 2, 0);
  const spread = Math.sqrt(residualSquares / Math.max(1, points.length - 2));
  return {
    measure,
    base,
    slope,
    slopeSpread: squaresX === 0 ? 0 : spread / Math.sqrt(squaresX),
    spread,
    grown: base + slope * grown,
  };
};

/** Fits a line to each measure of the points. */
export const fitsOf = (points: readonly Point[], grown: number): readonly Fit[] => {
  const names = new Set(points.flatMap((point) => [...point.values.keys()]));
  return [...names].map((name) =>
    fitOf(
      name,
      points.flatMap((point) => {
        const value = point.values.get(name);
        return value === undefined ? [] : [[point.size, value] as const];
      }),
      grown,
    ),
  );
};

/** Runs a sweep at each size, one after another, and reports the values of each. */
export const measureSizes = async (
  name: string,
  sweep: Sweep,
  sizes: readonly number[],
  report: (line: string) => void,
): Promise<SweepResult> => {
  const points: Point[] = [];
  for (const size of sizes) {
    const point = { size, values: await sweep.run(size) };
    points.push(point);
    report(
      `${name} ${sweep.by} ${size}: ${[...point.values].map(([k, v]) => `${k} ${round(v)}`).join(', ')}`,
    );
  }
  const { by, how, about, grown } = sweep;
  return {
    sweep: name,
    by,
    how,
    about,
    grown,
    command: `npx fleet capacity ${name} --sizes ${sizes.join(',')}`,
    points,
    fits: fitsOf(points, grown),
  };
};

/** Rounds to five significant digits. */
const round = (value: number): number => Number(value.toPrecision(5));

/** Returns the JSON text of a sweep's result, with one line for each point and fit. */
export const jsonOf = (result: SweepResult): string => {
  const points = result.points.map((point) => ({
    size: point.size,
    values: [...point.values].map(([name, value]) => [name, round(value)]),
  }));
  const fits = result.fits.map((fit) => ({
    measure: fit.measure,
    base: round(fit.base),
    slope: round(fit.slope),
    slopeSpread: round(fit.slopeSpread),
    spread: round(fit.spread),
    grown: round(fit.grown),
  }));
  const rows = (items: readonly object[]): string =>
    items.map((item) => `  ${JSON.stringify(item)}`).join(',\n');
  const head = JSON.stringify({ ...result, points: undefined, fits: undefined }).slice(1, -1);
  return `{${head},\n"points": [\n${rows(points)}\n],\n"fits": [\n${rows(fits)}\n]}\n`;
};

/** Returns a line of text for each fit: base, slope, errors, and the value at the size that may be grown to. */
export const tableOfFits = (result: SweepResult): readonly string[] =>
  result.fits.map(
    (fit) =>
      `${fit.measure.padEnd(44)} ${round(fit.base)} + ${round(fit.slope)} (± ${round(fit.slopeSpread)}) a ${result.by}; residuals ${round(fit.spread)}; at ${result.grown}: ${round(fit.grown)}`,
  );
