import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkConfigHistory, type ConfigAnswer, type ConfigCall } from '@tillerstair/checker';

const history = suite('the history of the configuration');

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

const a = change('a', 0, 2, between(0, 10), accepted);
const b = change('b', 2, 5, between(20, 30), accepted);

const sound: readonly (readonly [string, readonly ConfigCall[]])[] = [
  [
    'changes and reads one after the other',
    [read(0, 1, 0, ''), a, read(11, 12, 2, 'a'), b, read(31, 32, 5, 'b')],
  ],
  [
    'a read under way with a change sees either',
    [a, b, read(19, 31, 2, 'a'), read(19, 31, 5, 'b')],
  ],
  [
    'an unclear change that happened after its end',
    [a, change('x', 2, 4, between(20, 30), unclear), read(40, 41, 2, 'a'), read(60, 61, 4, 'x')],
  ],
  [
    'an unclear change that never happened',
    [a, change('x', 2, 4, between(11, 12), unclear), b, read(40, 41, 5, 'b')],
  ],
  [
    'an unclear change sent again and acknowledged',
    [
      a,
      change('x', 2, 4, between(11, 12), unclear),
      change('x', 2, 4, between(20, 30), accepted),
      change('x', 2, 4, between(40, 50), accepted),
    ],
  ],
  ['a refusal by a change under way', [a, change('x', 2, 4, between(15, 25), refused), b]],
  [
    'a change refused, as another took its number',
    [
      a,
      change('x', 2, 5, between(15, 40), refused),
      b,
      change('x', 2, 5, between(50, 60), refused),
    ],
  ],
  [
    'one that did not run and was refused later',
    [a, change('x', 2, 5, between(11, 12), notRun), b, change('x', 2, 5, between(40, 41), refused)],
  ],
  [
    'a call that never ended',
    [a, change('x', 2, 4, between(11, Infinity), unclear), read(20, 21, 4, 'x')],
  ],
  [
    'two unclear ones under one number, one read',
    [
      a,
      change('x', 2, 4, between(11, 12), unclear),
      change('y', 2, 4, between(11, 12), unclear),
      change('z', 4, 6, between(20, 30), accepted),
      read(40, 41, 6, 'z'),
    ],
  ],
];

const doctored: readonly (readonly [string, readonly ConfigCall[]])[] = [
  ['a stale read from a cut-off master', [a, b, read(31, 40, 2, 'a')]],
  ['a false refusal from old state', [a, b, change('c', 5, 7, between(40, 50), refused)]],
  [
    'a false refusal though nothing else was accepted',
    [a, change('c', 2, 7, between(40, 50), refused), read(60, 61, 2, 'a')],
  ],
  ['two confirmed under one number', [a, change('x', 2, 5, between(15, 40), accepted), b]],
  ['two confirmed on one base', [a, change('x', 2, 4, between(15, 40), accepted), b]],
  [
    'an accepted change refused when sent again',
    [a, b, change('a', 0, 2, between(40, 50), refused)],
  ],
  [
    'an unclear order that was read, refused when sent again',
    [
      a,
      change('x', 2, 4, between(11, 12), unclear),
      read(20, 21, 4, 'x'),
      change('x', 2, 4, between(40, 50), refused),
    ],
  ],
  [
    'an acknowledged change lost',
    [a, b, change('x', 2, 4, between(40, 50), accepted), read(60, 61, 4, 'x')],
  ],
  ['an acknowledged change lost, the configuration with it', [a, read(20, 21, 0, '')]],
  [
    'versions going back',
    [
      a,
      change('x', 2, 4, between(11, Infinity), unclear),
      read(20, 21, 4, 'x'),
      read(30, 31, 2, 'a'),
    ],
  ],
  [
    'led with old state',
    [a, b, change('c', 2, 8, between(40, 50), accepted), read(60, 61, 8, 'c')],
  ],
  ['a change seen before it was sent', [a, read(11, 12, 5, 'b'), b]],
  ['a version with another content', [a, read(11, 12, 2, 'b')]],
  [
    'one that did not run, read',
    [a, change('x', 2, 4, between(11, 12), notRun), read(20, 21, 4, 'x')],
  ],
  [
    'refused, and still read',
    [a, b, change('x', 5, 6, between(40, 41), refused), read(50, 51, 6, 'x')],
  ],
];

sound.forEach(([what, calls]) => {
  history(`sound: ${what}`, () => {
    const outcome = checkConfigHistory(calls);
    assert.equal(outcome.breaches, []);
    assert.ok(outcome.checked > 0);
  });
});

doctored.forEach(([what, calls]) => {
  history(`caught: ${what}`, () => {
    assert.is(checkConfigHistory(calls).breaches.length, 1);
  });
});

const versions = 400;

/** Many changes, each beside a rival on the same base that lost, an unclear one that never happened, reads, and a resend. */
const long = Array.from({ length: versions }, (_, v) => {
  const at = v * 100;
  return [
    change(`c${v}`, v, v + 1, between(at, at + 60), accepted),
    change(`r${v}`, v, v + 1, between(at + 10, at + 90), refused),
    change(`u${v}`, v, v + 1, between(at + 5, at + 20), unclear),
    read(at + 20, at + 80, v + 1, `c${v}`),
    change(`c${v}`, v, v + 1, between(at + 150, at + 250), accepted),
  ];
}).flat();

history('thousands of calls, many of them at once, are checked', () => {
  assert.equal(checkConfigHistory(long).breaches, []);
  assert.is(
    checkConfigHistory([
      ...long,
      read(versions * 100, versions * 100 + 1, versions - 1, `c${versions - 2}`),
    ]).breaches.length,
    1,
  );
});

history.run();
