/** Draws sweeps. */
import type { Spec } from 'vega';
import type { Fit, SweepResult } from './capacity.js';

const panel = (s: SweepResult, fit: Fit): NonNullable<Spec['marks']>[number] => {
  const points = s.points.flatMap((p) => {
    const y = p.values.get(fit.measure);
    return y === undefined ? [] : [{ x: p.size, y }];
  });
  const xs = points.map((p) => p.x);
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
  const at = { x: { scale: 'x', field: 'x' }, y: { scale: 'y', field: 'y' } };
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
        title: s.by,
        labelFontSize: 9,
        titleFontSize: 9,
      },
      { orient: 'left', scale: 'y', tickCount: 4, format: '~s', labelFontSize: 9 },
    ],
    marks: [
      {
        type: 'line',
        from: { data: 'line' },
        encode: { enter: { ...at, stroke: { value: '#8899aa' } } },
      },
      {
        type: 'symbol',
        from: { data: 'points' },
        encode: { enter: { ...at, fill: { value: '#225588' }, size: { value: 30 } } },
      },
    ],
  };
};

/** The points of a sweep with their fitted lines, as an SVG with a panel for each measure. */
export const svgOf = async (s: SweepResult): Promise<string> => {
  const { parse, View } = await import('vega');
  const spec: Spec = {
    padding: 5,
    background: 'white',
    layout: { columns: 3, padding: 25 },
    marks: s.fits.map((f) => panel(s, f)),
  };
  const svg = await new View(parse(spec), { renderer: 'none' }).toSVG();
  return `${svg.replace(/(\d+\.\d{2})\d+/g, '$1').replace(/ (role|aria-[a-z]+|class)="[^"]*"/g, '')}\n`;
};
