/** The linearizability check of operators' calls accepts linearizable histories and detects the others. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkConfigHistory, type ConfigAnswer, type ConfigCall } from '@tillerstair/checker';

const history = suite('linearizability of configuration changes');

const accepted: ConfigAnswer = { kind: 'accepted' };
const refused: ConfigAnswer = { kind: 'refused' };
const unclear: ConfigAnswer = { kind: 'unclear' };
const notRun: ConfigAnswer = { kind: 'no-effect' };

type Times = Pick<ConfigCall, 'calledAt' | 'answeredAt'>;

const between = (calledAt: number, answeredAt: number): Times => ({ calledAt, answeredAt });

const change = (
  changeId: string,
  base: number,
  version: number,
  times: Times,
  answer: ConfigAnswer,
): ConfigCall => ({
  what: { kind: 'change', changeId, base, version, content: changeId },
  ...times,
  answer,
});
const read = (
  calledAt: number,
  answeredAt: number,
  version: number,
  content: string,
): ConfigCall => ({
  what: { kind: 'read' },
  calledAt,
  answeredAt,
  answer: { kind: 'value', version, content },
});

const changeA = change('a', 0, 2, between(0, 10), accepted);
const changeB = change('b', 2, 5, between(20, 30), accepted);

const linearizable: readonly (readonly [string, readonly ConfigCall[]])[] = [
  [
    'sequential changes and reads',
    [read(0, 1, 0, ''), changeA, read(11, 12, 2, 'a'), changeB, read(31, 32, 5, 'b')],
  ],
  [
    'a read concurrent with a change returns either version',
    [changeA, changeB, read(19, 31, 2, 'a'), read(19, 31, 5, 'b')],
  ],
  [
    'an unclear change that took effect after its end',
    [
      changeA,
      change('x', 2, 4, between(20, 30), unclear),
      read(40, 41, 2, 'a'),
      read(60, 61, 4, 'x'),
    ],
  ],
  [
    'an unclear change that never took effect',
    [changeA, change('x', 2, 4, between(11, 12), unclear), changeB, read(40, 41, 5, 'b')],
  ],
  [
    'an unclear change retried and acknowledged',
    [
      changeA,
      change('x', 2, 4, between(11, 12), unclear),
      change('x', 2, 4, between(20, 30), accepted),
      change('x', 2, 4, between(40, 50), accepted),
    ],
  ],
  [
    'a change refused because of a concurrent change',
    [changeA, change('x', 2, 4, between(15, 25), refused), changeB],
  ],
  [
    'a change refused because another change was accepted under its version',
    [
      changeA,
      change('x', 2, 5, between(15, 40), refused),
      changeB,
      change('x', 2, 5, between(50, 60), refused),
    ],
  ],
  [
    'a change that did not run and was refused on retry',
    [
      changeA,
      change('x', 2, 5, between(11, 12), notRun),
      changeB,
      change('x', 2, 5, between(40, 41), refused),
    ],
  ],
  [
    'a change that never got an answer but took effect',
    [changeA, change('x', 2, 4, between(11, Infinity), unclear), read(20, 21, 4, 'x')],
  ],
  [
    'two unclear changes to one version, on which a later change is based',
    [
      changeA,
      change('x', 2, 4, between(11, 12), unclear),
      change('y', 2, 4, between(11, 12), unclear),
      change('z', 4, 6, between(20, 30), accepted),
      read(40, 41, 6, 'z'),
    ],
  ],
];

const notLinearizable: readonly (readonly [string, readonly ConfigCall[]])[] = [
  ['a stale read from an isolated master', [changeA, changeB, read(31, 40, 2, 'a')]],
  [
    'a false refusal based on old state',
    [changeA, changeB, change('c', 5, 7, between(40, 50), refused)],
  ],
  [
    'a false refusal though nothing else was accepted',
    [changeA, change('c', 2, 7, between(40, 50), refused), read(60, 61, 2, 'a')],
  ],
  [
    'two changes accepted under the same version',
    [changeA, change('x', 2, 5, between(15, 40), accepted), changeB],
  ],
  [
    'two changes accepted on the same base version',
    [changeA, change('x', 2, 4, between(15, 40), accepted), changeB],
  ],
  [
    'an accepted change refused on retry',
    [changeA, changeB, change('a', 0, 2, between(40, 50), refused)],
  ],
  [
    'an unclear change that was read, then refused on retry',
    [
      changeA,
      change('x', 2, 4, between(11, 12), unclear),
      read(20, 21, 4, 'x'),
      change('x', 2, 4, between(40, 50), refused),
    ],
  ],
  [
    'an acknowledged change lost',
    [changeA, changeB, change('x', 2, 4, between(40, 50), accepted), read(60, 61, 4, 'x')],
  ],
  [
    'an acknowledged change lost together with the whole configuration',
    [changeA, read(20, 21, 0, '')],
  ],
  [
    'a read that returns an older version than a previous read',
    [
      changeA,
      change('x', 2, 4, between(11, Infinity), unclear),
      read(20, 21, 4, 'x'),
      read(30, 31, 2, 'a'),
    ],
  ],
  [
    'a change accepted on old state after a newer one was acknowledged',
    [changeA, changeB, change('c', 2, 8, between(40, 50), accepted), read(60, 61, 8, 'c')],
  ],
  ['a change read before it was sent', [changeA, read(11, 12, 5, 'b'), changeB]],
  ['a version read with the content of another change', [changeA, read(11, 12, 2, 'b')]],
  [
    'a change read although it did not run',
    [changeA, change('x', 2, 4, between(11, 12), notRun), read(20, 21, 4, 'x')],
  ],
  [
    'a change read although it was refused',
    [changeA, changeB, change('x', 5, 6, between(40, 41), refused), read(50, 51, 6, 'x')],
  ],
];

linearizable.forEach(([description, calls]) => {
  history(`linearizable: ${description}`, () => {
    const outcome = checkConfigHistory(calls);
    assert.equal(outcome.breaches, []);
    assert.ok(outcome.checked > 0);
  });
});

notLinearizable.forEach(([description, calls]) => {
  history(`not linearizable: ${description}`, () => {
    assert.is(checkConfigHistory(calls).breaches.length, 1);
  });
});

const versionCount = 400;

/** Per version: an accepted change, a refused and an unclear one on the same base, a concurrent read, and a retry. */
const longHistory = Array.from({ length: versionCount }, (_, base) => {
  const start = base * 100;
  return [
    change(`c${base}`, base, base + 1, between(start, start + 60), accepted),
    change(`r${base}`, base, base + 1, between(start + 10, start + 90), refused),
    change(`u${base}`, base, base + 1, between(start + 5, start + 20), unclear),
    read(start + 20, start + 80, base + 1, `c${base}`),
    change(`c${base}`, base, base + 1, between(start + 150, start + 250), accepted),
  ];
}).flat();

history(
  'a history of 2000 calls with many concurrent ones is checked, and a stale read in it is detected',
  () => {
    assert.equal(checkConfigHistory(longHistory).breaches, []);
    assert.is(
      checkConfigHistory([
        ...longHistory,
        read(versionCount * 100, versionCount * 100 + 1, versionCount - 1, `c${versionCount - 2}`),
      ]).breaches.length,
      1,
    );
  },
);

history.run();
