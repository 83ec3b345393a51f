/** The checker catches each doctored record. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkRecords, type Records } from '@tillerstair/checker';
import {
  reported,
  executed,
  turn,
  gen,
  program,
  fetched,
  away,
  late,
  split,
  ev,
  passed,
  passExecuted,
  root,
  next,
  live,
  not,
  rootExecuted,
  nextExecuted,
  passes,
  configRead,
  good,
  brokenOff,
} from './checker-records.js';

const bites = suite('the checker bites');

const doctored: readonly (readonly [string, Records])[] = [
  ['runs twice', { ...good, executed: [...good.executed, { ...executed, at: 90000 }] }],
  [
    'both run within a minute',
    { ...good, executed: [...good.executed, { ...executed, at: 5000 }] },
  ],
  [
    'reported refused has not run',
    { ...good, reported: [...good.reported, { ...reported, reported: 'refused', text: '' }] },
  ],
  [
    'reported refused has not run',
    {
      ...good,
      reported: [
        program,
        { ...turn, reported: 'refused', chunks: [], text: '' },
        { ...turn, attempt: 'i4', reported: 'unknown' },
      ],
    },
  ],
  [
    'foreign, cut or invented',
    { ...good, reported: [...good.reported, { ...reported, key: 'other', text: 's1 t/k' }] },
  ],
  [
    'foreign, cut or invented',
    { ...good, reported: [...good.reported, { ...reported, tenant: 'u' }] },
  ],
  [
    'foreign, cut or invented',
    { ...good, reported: [program, { ...turn, text: 'a ', chunks: [0] }] },
  ],
  ['foreign, cut or invented', { ...good, reported: [program, { ...turn, program: 'q' }] }],
  ['foreign, cut or invented', { ...good, executed: [executed, { ...gen, complete: false }] }],
  [
    'foreign, cut or invented',
    { ...good, reported: [...good.reported, { ...fetched, text: 'a c ' }] },
  ],
  [
    'its budget and one turn',
    {
      ...good,
      reported: [program, ...Array.from({ length: 4 }, (_, i) => ({ ...turn, key: `t${i}` }))],
    },
  ],
  [
    'its budget and one turn',
    { ...good, executed: [executed, gen, gen, gen, { ...gen, program: 'p~h' }] },
  ],
  [
    'reported missing',
    {
      ...good,
      reported: [
        program,
        turn,
        { ...fetched, reported: 'refused', errorCode: 'missing', text: '' },
      ],
    },
  ],
  [
    'reported missing',
    {
      ...good,
      reported: [
        program,
        turn,
        { ...fetched, from: 60000, to: 60190, reported: 'refused', errorCode: 'missing', text: '' },
      ],
    },
  ],
  [
    'reported missing',
    {
      ...good,
      reported: [
        program,
        turn,
        {
          ...turn,
          key: 't2',
          after: 'x',
          from: 300,
          to: 301,
          reported: 'refused',
          errorCode: 'missing-turn',
          chunks: [],
          text: '',
        },
      ],
    },
  ],
  [
    'reported missing',
    {
      ...good,
      reported: [
        program,
        { ...turn, reported: 'refused', errorCode: 'missing', chunks: [], text: '' },
      ],
    },
  ],
  ['skips, repeats or stitches', { ...good, reported: [program, { ...turn, chunks: [0, 2] }] }],
  [
    'skips, repeats or stitches',
    { ...good, reported: [program, { ...turn, reported: 'partial', text: 'a c ' }] },
  ],
  ['skips, repeats or stitches', { ...good, executed: [executed] }],
  ['draining server', { ...good, drainings: [{ server: 's1', at: -4000, until: 1e9 }] }],
  [
    'draining server',
    { ...good, executed: [...good.executed, { ...late, began: away.at + 3301 }] },
  ],
  [
    'shares the operator gave',
    {
      ...good,
      executed: [
        ...good.executed,
        ...split.slice(0, 12).map((x) => ({ ...x, pool: 'shop', key: `${x.key}b` })),
      ],
    },
  ],
  [
    'shares the operator gave',
    {
      ...good,
      shares: [
        {
          kind: 'act',
          from: 1999,
          to: 3000,
          shares: [
            ['shop', 0],
            ['more', 1],
          ],
          rounding: 40,
        },
      ],
    },
  ],
  ['in force', { ...good, executed: [...good.executed, { ...gen, pool: 'early' }] }],
  [
    'in force',
    {
      ...good,
      executed: [...good.executed, { ...executed, key: 't/e', pool: 'more', began: 999 }],
    },
  ],
  ['never allowed', { ...good, executed: [{ ...executed, pool: 'secret' }, gen] }],
  ['never allowed', { ...good, executed: [{ ...executed, pool: 'more' }, gen] }],
  ['read-back', { ...good, readBack: { version: 2, text: 'other' } }],
  ['read-back', { ...good, readBack: { version: 1, text: 'c0' } }],
  ['read-back', { ...good, readBack: undefined }],
  [
    'took effect at one moment',
    {
      ...good,
      configCalls: [{ ...configRead, answer: { kind: 'value', version: 9, content: 'x' } }],
    },
  ],
  [
    'full stop',
    {
      ...good,
      restarts: [{ stoppedAt: 0, startedAt: 0, servedAt: 12501, configBefore: 1, configAfter: 1 }],
    },
  ],
  [
    'full stop',
    {
      ...good,
      restarts: [{ stoppedAt: 0, startedAt: 0, servedAt: 4000, configBefore: 2, configAfter: 1 }],
    },
  ],
  [
    'may not be repeated',
    { ...good, executed: [...good.executed, { ...passExecuted, attempt: 'a9' }] },
  ],
  ['may not be repeated', { ...good, executed: [...good.executed, rootExecuted] }],
  [
    'refused on a pass route',
    { ...good, executed: [...good.executed, { ...passExecuted, key: '', attempt: 'a5' }] },
  ],
  [
    'refused on a pass route',
    { ...good, passes: [...passes, { ...root, reported: 'refused', status: 402, body: '' }] },
  ],
  [
    'nobody sent',
    { ...good, executed: [...good.executed, { ...passExecuted, key: '', attempt: 'a9' }] },
  ],
  ["its server's bytes", { ...good, passes: [{ ...passed, body: 'ou' }, root, next, live, not] }],
  [
    "its server's bytes",
    { ...good, passes: [...passes, { ...passed, attempt: 'a9', body: 'other' }] },
  ],
  ["its server's bytes", { ...good, passes: [passed, { ...root, body: ev(0) }, next, live, not] }],
  [
    'repeats or tears',
    { ...good, passes: [...passes, { ...root, reported: 'partial', body: ev(0).slice(0, -1) }] },
  ],
  [
    'repeats or tears',
    { ...good, passes: [passed, root, next, { ...live, body: ev(0, 0, 1, 2) }, not] },
  ],
  ['repeats or tears', { ...good, passes: [passed, root, next, { ...live, body: ev(0, 2) }, not] }],
  [
    'repeats or tears',
    {
      ...good,
      passes: [passed, root, next, { ...live, reported: 'partial', body: ev(0, 1, 2, 3) }, not],
    },
  ],
  [
    'its chain before it',
    {
      ...good,
      executed: good.executed.map((x) => (x === nextExecuted ? { ...x, said: 'ind0\nd1more' } : x)),
    },
  ],
  [
    'its chain before it',
    {
      ...good,
      executed: good.executed.map((x) => (x === passExecuted ? { ...x, said: 'In' } : x)),
    },
  ],
  [
    'its chain before it',
    { ...good, passes: [passed, root, { ...next, after: 'none' }, live, not] },
  ],
  [
    'pass routes hands out',
    { ...good, passes: [...passes, ...['b1', 'b2'].map((attempt) => ({ ...next, attempt }))] },
  ],
  ['pass routes hands out', brokenOff(0, 1, 2, 3, 4, 5)],
  [
    'of a pass route answered in full',
    {
      ...good,
      passes: [...passes, { ...next, attempt: 'a9', reported: 'refused', status: 404, body: '' }],
    },
  ],
  [
    'never allowed',
    { ...good, executed: [...good.executed, { ...passExecuted, key: '', pool: 'secret' }] },
  ],
];

doctored.forEach(([rule, records], i) => {
  bites(`doctored record ${i + 1} is caught: ${rule}`, () => {
    const hit = checkRecords(records)
      .filter((v) => v.breaches.length > 0)
      .map((v) => v.rule);
    assert.ok(
      hit.some((r) => r.includes(rule)),
      `caught ${hit.join('; ') || 'nothing'}`,
    );
  });
});

bites.run();
