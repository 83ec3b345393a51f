/** The checker reports no breach for valid records, including those just inside a limit. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkRecords, type Records } from '@tillerstair/checker';
import {
  callReply,
  callExecution,
  turnReply,
  turnExecution,
  firstConfig,
  secondConfig,
  programReply,
  fetchReply,
  draining,
  drainingExecution,
  unknownConfig,
  keyedExecution,
  rootTurn,
  refusedPass,
  rootExecution,
  passes,
  valid,
  withPartialStream,
} from './checker-records.js';

const checker = suite('checker, valid records');

checker('valid records breach no rule and every rule checks at least one record', () => {
  for (const result of checkRecords(valid)) {
    assert.equal(result.breaches, [], result.rule);
    assert.ok(result.checked > 0, result.rule);
  }
});

const validNearBound: readonly (readonly [string, Records])[] = [
  [
    'the key of one tenant, used by another tenant too',
    { ...valid, executed: [...valid.executed, { ...callExecution, key: 'u/k' }] },
  ],
  [
    'a refused attempt of a key whose other attempts were done',
    {
      ...valid,
      reported: [...valid.reported, { ...callReply, attempt: 'i8', reported: 'refused', text: '' }],
    },
  ],
  [
    'a budget exceeded by less than one turn',
    { ...valid, executed: [...valid.executed, { ...turnExecution, tokens: 4 }] },
  ],
  [
    'a turn reported missing after more than a minute',
    {
      ...valid,
      reported: [
        programReply,
        turnReply,
        {
          ...fetchReply,
          from: 60300,
          to: 60301,
          reported: 'refused',
          errorCode: 'missing',
          text: '',
        },
      ],
    },
  ],
  [
    'work on a draining server just inside the time limit',
    {
      ...valid,
      executed: [
        ...valid.executed,
        { ...drainingExecution, key: 't/m', began: draining.at + 3300 },
      ],
    },
  ],
  [
    'work in a pool of an older configuration just inside the time limit',
    {
      ...valid,
      configs: [firstConfig, { ...secondConfig, reportedAt: -2000 }, unknownConfig],
      executed: [
        ...valid.executed,
        { ...turnExecution, attempt: 'n', program: 'n', pool: 'early', began: 200 },
      ],
    },
  ],
  [
    'work split by shares within rounding',
    {
      ...valid,
      executed: [...valid.executed, { ...callExecution, key: 't/z', pool: 'more', began: 2500 }],
    },
  ],
  [
    'requests served again just inside the time limit after a restart',
    {
      ...valid,
      restarts: [{ stoppedAt: 0, startedAt: 0, servedAt: 12500, configBefore: 2, configAfter: 3 }],
    },
  ],
  ['a budget on pass routes exceeded by one turn', withPartialStream(0, 1, 2, 3, 4)],
  [
    'a budget on pass routes exceeded only by tokens that no caller received',
    {
      ...valid,
      executed: [...valid.executed, { ...rootExecution, attempt: 'a9', tokens: 6 }],
      passes: [...passes, { ...rootTurn, attempt: 'a9', reported: 'unknown', body: '' }],
    },
  ],
  [
    'a repeatable pass that ran twice and was reported refused',
    {
      ...valid,
      executed: [
        ...valid.executed,
        ...[1, 2].map(() => ({ ...keyedExecution, key: '', attempt: 'a8' })),
      ],
      passes: [...passes, { ...refusedPass, manner: 'repeatable', attempt: 'a8' }],
    },
  ],
  [
    'a configuration of unknown outcome read back',
    { ...valid, readBack: { version: 3, text: 'c2' } },
  ],
];

validNearBound.forEach(([description, records]) => {
  checker(`valid, near a limit: ${description}`, () => {
    assert.equal(
      checkRecords(records).flatMap((result) => result.breaches),
      [],
    );
  });
});

checker.run();
