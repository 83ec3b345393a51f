/** Draws the results of sweeps as SVG. */
import type { Spec } from 'vega';
import type { Fit, SweepResult } from './capacity.js';

/** The panel of one measure. */
const panel = (result: SweepResult, fit: Fit): NonNullable<Spec['marks']>[number] => {
  const points = result.points.flatMap((point) => {
    const y = point.values.get(fit.measure);
    return y === undefined ? [] : [{ x: point.size, y }];
  });
  const xs = points.map((point) => point.x);
  const line = [Math.min(...xs), Math.max(...xs)].map((x) => ({ x, y: fit.base + fit.slope * x }));
  const scale = (name: 'x' | 'y', range: 'width' | 'height') => ({
    name,
    type: 'linear' as const,
    range,
    nice: true,
    zero: true,
    domain: {
      fields: [
        { data: 'points', field: name },
        { data: 'line', field: name },
      ],
    },
  });
  const position = { x: { scale: 'x', field: 'x' }, y: { scale: 'y', field: 'y' } };
  return {
    type: 'group',
    encode: { enter: { width: { value: 240 }, height: { value: 110 } } },
    data: [
      { name: 'points', values: points },
      { name: 'line', values: line },
    ],
    signals: [
      { name: 'width', value: 240 },
      { name: 'height', value: 110 },
    ],
    title: { text: fit.measure, fontSize: 11 },
    scales: [scale('x', 'width'), scale('y', 'height')],
    axes: [
      {
        orient: 'bottom',
        scale: 'x',
        tickCount: 5,
        title: result.by,
        labelFontSize: 9,
        titleFontSize: 9,
      },
      { orient: 'left', scale: 'y', tickCount: 4, format: '~s', labelFontSize: 9 },
    ],
    marks: [
      {
        type: 'line',
        from: { data: 'line' },
        encode: { enter: { ...position, stroke: { value: '#8899aa' } } },
      },
      {
        type: 'symbol',
        from: { data: 'points' },
        encode: { enter: { ...position, fill: { value: '#225588' }, size: { value: 30 } } },
      },
    ],
  };
};

/** Returns an SVG with a panel for each measure: the measured points and their fitted line. */
export const svgOf = async (result: SweepResult): Promise<string> => {
  const { parse, View } = await import('vega');
  const spec: Spec = {
    padding: 5,
    background: 'white',
    layout: { columns: 3, padding: 25 },
    marks: result.fits.map((fit) => panel(result, fit)),
  };
  const svg = await new View(parse(spec), { renderer: 'none' }).toSVG();
  return `${svg.replace(/(\d+\.\d{2})\d+/g, '$1').replace(/ (role|aria-[a-z]+|class)="[^"]*"/g, '')}\n`;
};
