/** The checker passes sound records, also near the bounds. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkRecords, type Records } from '@tillerstair/checker';
import {
  reported,
  executed,
  turn,
  gen,
  first,
  config,
  program,
  fetched,
  away,
  late,
  wide,
  passExecuted,
  root,
  not,
  rootExecuted,
  passes,
  good,
  brokenOff,
} from './checker-records.js';

const bites = suite('the checker bites');

bites('sound records breach nothing and prove every rule', () => {
  for (const v of checkRecords(good)) {
    assert.equal(v.breaches, [], v.rule);
    assert.ok(v.checked > 0, v.rule);
  }
});

const sound: readonly (readonly [string, Records])[] = [
  [
    'a key run again after more than a minute under another tenant',
    { ...good, executed: [...good.executed, { ...executed, key: 'u/k' }] },
  ],
  [
    'an attempt reported unknown that ran, and another attempt of its key reported refused',
    {
      ...good,
      reported: [...good.reported, { ...reported, attempt: 'i8', reported: 'refused', text: '' }],
    },
  ],
  [
    'a budget overrun by less than one turn',
    { ...good, executed: [...good.executed, { ...gen, tokens: 4 }] },
  ],
  [
    'a turn missing after more than a minute',
    {
      ...good,
      reported: [
        program,
        turn,
        { ...fetched, from: 60300, to: 60301, reported: 'refused', errorCode: 'missing', text: '' },
      ],
    },
  ],
  [
    'work just inside the draining bound',
    { ...good, executed: [...good.executed, { ...late, key: 't/m', began: away.at + 3300 }] },
  ],
  [
    'work of an older version just inside the bound',
    {
      ...good,
      configs: [first, { ...config, reportedAt: -2000 }, wide],
      executed: [
        ...good.executed,
        { ...gen, attempt: 'n', program: 'n', pool: 'early', began: 200 },
      ],
    },
  ],
  [
    'a split within rounding',
    {
      ...good,
      executed: [...good.executed, { ...executed, key: 't/z', pool: 'more', began: 2500 }],
    },
  ],
  [
    'serving back just in time',
    {
      ...good,
      restarts: [{ stoppedAt: 0, startedAt: 0, servedAt: 12500, configBefore: 2, configAfter: 3 }],
    },
  ],
  ['a budget on pass routes overrun by one turn', brokenOff(0, 1, 2, 3, 4)],
  [
    'a budget on pass routes overrun by what nobody received',
    {
      ...good,
      executed: [...good.executed, { ...rootExecuted, attempt: 'a9', tokens: 6 }],
      passes: [...passes, { ...root, attempt: 'a9', reported: 'unknown', body: '' }],
    },
  ],
  [
    'a repeatable pass that ran twice and was reported refused once more',
    {
      ...good,
      executed: [
        ...good.executed,
        ...[1, 2].map(() => ({ ...passExecuted, key: '', attempt: 'a8' })),
      ],
      passes: [...passes, { ...not, manner: 'repeatable', attempt: 'a8' }],
    },
  ],
  ['a version of unknown fate read back', { ...good, readBack: { version: 3, text: 'c2' } }],
];

sound.forEach(([what, records]) => {
  bites(`near the bound but sound: ${what}`, () => {
    assert.equal(
      checkRecords(records).flatMap((v) => v.breaches),
      [],
    );
  });
});

bites.run();
