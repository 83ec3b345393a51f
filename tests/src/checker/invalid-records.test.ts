/** The checker detects the breach in each set of invalid records: valid records with one manipulated. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkRecords, type Records } from '@tillerstair/checker';
import {
  callReply,
  callExecution,
  turnReply,
  turnExecution,
  programReply,
  fetchReply,
  draining,
  drainingExecution,
  splitExecutions,
  streamBody,
  keyedPass,
  keyedExecution,
  rootTurn,
  nextTurn,
  resumable,
  refusedPass,
  rootExecution,
  nextExecution,
  passes,
  configReadCall,
  valid,
  withPartialStream,
} from './checker-records.js';

const checker = suite('checker, invalid records');

/** Part of the title of the rule that must be breached, and the records that breach it. */
const invalidRecords: readonly (readonly [string, Records])[] = [
  ['runs twice', { ...valid, executed: [...valid.executed, { ...callExecution, at: 90000 }] }],
  [
    'both run within a minute',
    { ...valid, executed: [...valid.executed, { ...callExecution, at: 5000 }] },
  ],
  [
    'reported refused has not run',
    { ...valid, reported: [...valid.reported, { ...callReply, reported: 'refused', text: '' }] },
  ],
  [
    'reported refused has not run',
    {
      ...valid,
      reported: [
        programReply,
        { ...turnReply, reported: 'refused', chunks: [], text: '' },
        { ...turnReply, attempt: 'i4', reported: 'unknown' },
      ],
    },
  ],
  [
    'foreign, cut or invented',
    { ...valid, reported: [...valid.reported, { ...callReply, key: 'other', text: 's1 t/k' }] },
  ],
  [
    'foreign, cut or invented',
    { ...valid, reported: [...valid.reported, { ...callReply, tenant: 'u' }] },
  ],
  [
    'foreign, cut or invented',
    { ...valid, reported: [programReply, { ...turnReply, text: 'a ', chunks: [0] }] },
  ],
  [
    'foreign, cut or invented',
    { ...valid, reported: [programReply, { ...turnReply, program: 'q' }] },
  ],
  [
    'foreign, cut or invented',
    { ...valid, executed: [callExecution, { ...turnExecution, complete: false }] },
  ],
  [
    'foreign, cut or invented',
    { ...valid, reported: [...valid.reported, { ...fetchReply, text: 'a c ' }] },
  ],
  [
    'its budget and one turn',
    {
      ...valid,
      reported: [
        programReply,
        ...Array.from({ length: 4 }, (_, i) => ({ ...turnReply, key: `t${i}` })),
      ],
    },
  ],
  [
    'its budget and one turn',
    {
      ...valid,
      executed: [
        callExecution,
        turnExecution,
        turnExecution,
        turnExecution,
        { ...turnExecution, program: 'p~h' },
      ],
    },
  ],
  [
    'reported missing',
    {
      ...valid,
      reported: [
        programReply,
        turnReply,
        { ...fetchReply, reported: 'refused', errorCode: 'missing', text: '' },
      ],
    },
  ],
  [
    'reported missing',
    {
      ...valid,
      reported: [
        programReply,
        turnReply,
        {
          ...fetchReply,
          from: 60000,
          to: 60190,
          reported: 'refused',
          errorCode: 'missing',
          text: '',
        },
      ],
    },
  ],
  [
    'reported missing',
    {
      ...valid,
      reported: [
        programReply,
        turnReply,
        {
          ...turnReply,
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
      ...valid,
      reported: [
        programReply,
        { ...turnReply, reported: 'refused', errorCode: 'missing', chunks: [], text: '' },
      ],
    },
  ],
  [
    'skips, repeats or stitches',
    { ...valid, reported: [programReply, { ...turnReply, chunks: [0, 2] }] },
  ],
  [
    'skips, repeats or stitches',
    { ...valid, reported: [programReply, { ...turnReply, reported: 'partial', text: 'a c ' }] },
  ],
  ['skips, repeats or stitches', { ...valid, executed: [callExecution] }],
  ['draining server', { ...valid, drainings: [{ server: 's1', at: -4000, until: 1e9 }] }],
  [
    'draining server',
    {
      ...valid,
      executed: [...valid.executed, { ...drainingExecution, began: draining.at + 3301 }],
    },
  ],
  [
    'shares the operator gave',
    {
      ...valid,
      executed: [
        ...valid.executed,
        ...splitExecutions
          .slice(0, 12)
          .map((execution) => ({ ...execution, pool: 'shop', key: `${execution.key}b` })),
      ],
    },
  ],
  [
    'shares the operator gave',
    {
      ...valid,
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
  ['in force', { ...valid, executed: [...valid.executed, { ...turnExecution, pool: 'early' }] }],
  [
    'in force',
    {
      ...valid,
      executed: [...valid.executed, { ...callExecution, key: 't/e', pool: 'more', began: 999 }],
    },
  ],
  ['never allowed', { ...valid, executed: [{ ...callExecution, pool: 'secret' }, turnExecution] }],
  ['never allowed', { ...valid, executed: [{ ...callExecution, pool: 'more' }, turnExecution] }],
  ['read-back', { ...valid, readBack: { version: 2, text: 'other' } }],
  ['read-back', { ...valid, readBack: { version: 1, text: 'c0' } }],
  ['read-back', { ...valid, readBack: undefined }],
  [
    'took effect at one moment',
    {
      ...valid,
      configCalls: [{ ...configReadCall, answer: { kind: 'value', version: 9, content: 'x' } }],
    },
  ],
  [
    'full stop',
    {
      ...valid,
      restarts: [{ stoppedAt: 0, startedAt: 0, servedAt: 12501, configBefore: 1, configAfter: 1 }],
    },
  ],
  [
    'full stop',
    {
      ...valid,
      restarts: [{ stoppedAt: 0, startedAt: 0, servedAt: 4000, configBefore: 2, configAfter: 1 }],
    },
  ],
  [
    'may not be repeated',
    { ...valid, executed: [...valid.executed, { ...keyedExecution, attempt: 'a9' }] },
  ],
  ['may not be repeated', { ...valid, executed: [...valid.executed, rootExecution] }],
  [
    'refused on a pass route',
    { ...valid, executed: [...valid.executed, { ...keyedExecution, key: '', attempt: 'a5' }] },
  ],
  [
    'refused on a pass route',
    { ...valid, passes: [...passes, { ...rootTurn, reported: 'refused', status: 402, body: '' }] },
  ],
  [
    'nobody sent',
    { ...valid, executed: [...valid.executed, { ...keyedExecution, key: '', attempt: 'a9' }] },
  ],
  [
    "its server's bytes",
    {
      ...valid,
      passes: [{ ...keyedPass, body: 'ou' }, rootTurn, nextTurn, resumable, refusedPass],
    },
  ],
  [
    "its server's bytes",
    { ...valid, passes: [...passes, { ...keyedPass, attempt: 'a9', body: 'other' }] },
  ],
  [
    "its server's bytes",
    {
      ...valid,
      passes: [keyedPass, { ...rootTurn, body: streamBody(0) }, nextTurn, resumable, refusedPass],
    },
  ],
  [
    'repeats or tears',
    {
      ...valid,
      passes: [...passes, { ...rootTurn, reported: 'partial', body: streamBody(0).slice(0, -1) }],
    },
  ],
  [
    'repeats or tears',
    {
      ...valid,
      passes: [
        keyedPass,
        rootTurn,
        nextTurn,
        { ...resumable, body: streamBody(0, 0, 1, 2) },
        refusedPass,
      ],
    },
  ],
  [
    'repeats or tears',
    {
      ...valid,
      passes: [
        keyedPass,
        rootTurn,
        nextTurn,
        { ...resumable, body: streamBody(0, 2) },
        refusedPass,
      ],
    },
  ],
  [
    'repeats or tears',
    {
      ...valid,
      passes: [
        keyedPass,
        rootTurn,
        nextTurn,
        { ...resumable, reported: 'partial', body: streamBody(0, 1, 2, 3) },
        refusedPass,
      ],
    },
  ],
  [
    'its chain before it',
    {
      ...valid,
      executed: valid.executed.map((execution) =>
        execution === nextExecution ? { ...execution, said: 'ind0\nd1more' } : execution,
      ),
    },
  ],
  [
    'its chain before it',
    {
      ...valid,
      executed: valid.executed.map((execution) =>
        execution === keyedExecution ? { ...execution, said: 'In' } : execution,
      ),
    },
  ],
  [
    'its chain before it',
    {
      ...valid,
      passes: [keyedPass, rootTurn, { ...nextTurn, after: 'none' }, resumable, refusedPass],
    },
  ],
  [
    'pass routes hands out',
    { ...valid, passes: [...passes, ...['b1', 'b2'].map((attempt) => ({ ...nextTurn, attempt }))] },
  ],
  ['pass routes hands out', withPartialStream(0, 1, 2, 3, 4, 5)],
  [
    'of a pass route answered in full',
    {
      ...valid,
      passes: [
        ...passes,
        { ...nextTurn, attempt: 'a9', reported: 'refused', status: 404, body: '' },
      ],
    },
  ],
  [
    'never allowed',
    { ...valid, executed: [...valid.executed, { ...keyedExecution, key: '', pool: 'secret' }] },
  ],
];

invalidRecords.forEach(([rule, records], i) => {
  checker(`invalid record ${i + 1} is detected: ${rule}`, () => {
    const breachedRules = checkRecords(records)
      .filter((result) => result.breaches.length > 0)
      .map((result) => result.rule);
    assert.ok(
      breachedRules.some((title) => title.includes(rule)),
      `expected a breach of "${rule}", breached rules: ${breachedRules.join('; ') || 'nothing'}`,
    );
  });
});

checker.run();
