/** The checker's rules on keys that services record: which runs count, and which keys must have an answer. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkRecords, type Records } from '@tillerstair/checker';
import { keyedExecution, keyedPass, passes, valid } from './checker-records.js';

const checker = suite('checker, keys that services record');

const runsOnce = 'no pass that may not be repeated runs twice';
const isAnswered = 'a key whose service can answer gets its answer';

/** The records, the rule that judges them, and whether they breach it. */
const cases: readonly (readonly [string, Records, string, boolean])[] = [
  [
    'a second whole run at another service that records keys',
    {
      ...valid,
      recordingPools: ['shop', 'memo'],
      executed: [...valid.executed, { ...keyedExecution, pool: 'memo' }],
    },
    runsOnce,
    true,
  ],
  [
    'a broken-off run at a service without a record of keys, and one in its place',
    {
      ...valid,
      recordingPools: ['memo'],
      executed: [...valid.executed, { ...keyedExecution, complete: false }],
    },
    runsOnce,
    true,
  ],
  [
    'a broken-off run at a service that records keys, and one in its place',
    {
      ...valid,
      recordingPools: [keyedExecution.pool],
      executed: [...valid.executed, { ...keyedExecution, complete: false }],
    },
    runsOnce,
    false,
  ],
  [
    'a last attempt that ended as unknown',
    {
      ...valid,
      passes: [...passes, { ...keyedPass, attempt: 'a9', reported: 'unknown', status: 504 }],
      finalAttempts: ['a9'],
    },
    isAnswered,
    true,
  ],
  [
    'a last attempt of which no caller has a record',
    { ...valid, finalAttempts: ['a9'] },
    isAnswered,
    true,
  ],
  ['a last attempt with its answer', valid, isAnswered, false],
];

for (const [name, records, rule, isBreach] of cases)
  checker(`${name} ${isBreach ? 'breaches' : 'keeps'} the rule`, () => {
    const result = checkRecords(records).find((checked) => checked.rule === rule);
    assert.is(result !== undefined && result.breaches.length > 0, isBreach);
    assert.ok(result && result.checked > 0);
  });

checker.run();
