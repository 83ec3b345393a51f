/** What was measured, by name; the name gives the unit. */
export type Values = ReadonlyMap<string, number>;

/** What was measured at one size. */
export interface Point {
  readonly size: number;
  readonly values: Values;
}

/** A measurement over several sizes, and what it is fitted for: the size that the deployment may grow to. */
export interface Sweep {
  readonly about: string;
  readonly by: string;
  readonly how: 'simulated' | 'processor' | 'sockets';
  readonly sizes: readonly number[];
  readonly small: readonly number[];
  readonly grown: number;
  run(size: number): Promise<Values>;
}

/** A line through the measured points; `grown` is its value at the grown size. */
export interface Fit {
  readonly measure: string;
  readonly base: number;
  readonly slope: number;
  readonly slopeSpread: number;
  readonly spread: number;
  readonly grown: number;
}

/** A sweep that was run. */
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

const mean = (xs: readonly number[]): number =>
  xs.reduce((a, b) => a + b, 0) / Math.max(1, xs.length);

/** Least squares; `spread` is the standard deviation of the residuals, `slopeSpread` the standard error of the slope. */
export const fitOf = (
  measure: string,
  points: readonly (readonly [number, number])[],
  grown: number,
): Fit => {
  const mx = mean(points.map(([x]) => x));
  const my = mean(points.map(([, y]) => y));
  const sxx = points.reduce((n, [x]) => n + (x - mx) ** 2, 0);
  const slope = sxx === 0 ? 0 : points.reduce((n, [x, y]) => n + (x - mx) * (y - my), 0) / sxx;
  const base = my - slope * mx;
  const left = points.reduce((n, [x, y]) => n + (y - base - slope * x) ** 2, 0);
  const spread = Math.sqrt(left / Math.max(1, points.length - 2));
  return {
    measure,
    base,
    slope,
    slopeSpread: sxx === 0 ? 0 : spread / Math.sqrt(sxx),
    spread,
    grown: base + slope * grown,
  };
};

/** A line for each measure. */
export const fitsOf = (points: readonly Point[], grown: number): readonly Fit[] => {
  const names = new Set(points.flatMap((p) => [...p.values.keys()]));
  return [...names].map((name) =>
    fitOf(
      name,
      points.flatMap((p) => {
        const v = p.values.get(name);
        return v === undefined ? [] : [[p.size, v] as const];
      }),
      grown,
    ),
  );
};

/** Runs a sweep at each size, one after another. */
export const measureSizes = async (
  name: string,
  s: Sweep,
  sizes: readonly number[],
  say: (line: string) => void,
): Promise<SweepResult> => {
  const points: Point[] = [];
  for (const size of sizes) {
    const point = { size, values: await s.run(size) };
    points.push(point);
    say(
      `${name} ${s.by} ${size}: ${[...point.values].map(([k, v]) => `${k} ${round(v)}`).join(', ')}`,
    );
  }
  const { by, how, about, grown } = s;
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

/** Five significant digits. */
const round = (v: number): number => Number(v.toPrecision(5));

/** The sweep as it is kept in a file. */
export const jsonOf = (s: SweepResult): string => {
  const points = s.points.map((p) => ({
    size: p.size,
    values: [...p.values].map(([k, v]) => [k, round(v)]),
  }));
  const fits = s.fits.map((f) => ({
    measure: f.measure,
    base: round(f.base),
    slope: round(f.slope),
    slopeSpread: round(f.slopeSpread),
    spread: round(f.spread),
    grown: round(f.grown),
  }));
  const rows = (xs: readonly object[]): string =>
    xs.map((x) => `  ${JSON.stringify(x)}`).join(',\n');
  const head = JSON.stringify({ ...s, points: undefined, fits: undefined }).slice(1, -1);
  return `{${head},\n"points": [\n${rows(points)}\n],\n"fits": [\n${rows(fits)}\n]}\n`;
};

/** A line for each measure, for people. */
export const tableOfFits = (s: SweepResult): readonly string[] =>
  s.fits.map(
    (f) =>
      `${f.measure.padEnd(44)} ${round(f.base)} + ${round(f.slope)} (± ${round(f.slopeSpread)}) a ${s.by}; residuals ${round(f.spread)}; at ${s.grown}: ${round(f.grown)}`,
  );
