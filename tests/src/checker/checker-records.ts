/** Sound records of every kind, of which the tests of the checker make doctored ones. */
import {
  emptyRecords,
  type ConfigCall,
  type PassRecord,
  type ExecutionRecord,
  type Records,
  type ReplyRecord,
} from '@tillerstair/checker';

export const reported: ReplyRecord = {
  kind: 'call',
  tenant: 't',
  program: '',
  key: 'k',
  attempt: 'i1',
  turn: '',
  after: '',
  from: 100,
  to: 200,
  reported: 'done',
  errorCode: '',
  chunks: [],
  text: 's1 t/k',
  tokens: 0,
  sent: '{}',
  retryAfter: 0,
};

export const executed: ExecutionRecord = {
  kind: 'act',
  server: 's1',
  pool: 'shop',
  key: 't/k',
  attempt: 'i1',
  program: '',
  began: 120,
  at: 150,
  said: '/hold',
  reply: '',
  complete: true,
  tokens: 0,
};

const said = 'what is in stock? #1'.padEnd(60, ' ');

export const turn: ReplyRecord = {
  ...reported,
  kind: 'turn',
  program: 'p',
  key: 't1',
  attempt: 'i2',
  turn: 'x',
  text: 'a b ',
  chunks: [0, 1],
  tokens: 2,
  sent: said,
};

export const gen: ExecutionRecord = {
  ...executed,
  kind: 'generate',
  pool: 'models',
  key: '',
  attempt: 'i2',
  program: 'p',
  said,
  reply: 'a b ',
  tokens: 2,
};

export const first = {
  version: 1,
  text: 'c0',
  turnPools: ['early'],
  callPools: ['shop', 'early'],
  sentAt: -40000,
  reported: 'done' as const,
  reportedAt: -30000,
};

export const config = {
  version: 2,
  text: 'c1',
  turnPools: ['models'],
  callPools: ['shop'],
  sentAt: -20000,
  reported: 'done' as const,
  reportedAt: -10000,
};

export const program: ReplyRecord = {
  ...reported,
  kind: 'program',
  program: 'p',
  key: '',
  attempt: '',
  sent: '3',
  text: '',
  from: 10,
  to: 20,
};

export const fetched: ReplyRecord = {
  ...turn,
  kind: 'fetch',
  key: '',
  attempt: '',
  from: 300,
  to: 400,
  chunks: [],
};

const refused: ReplyRecord = {
  ...reported,
  key: 'r',
  attempt: 'i9',
  reported: 'refused',
  text: '',
};

export const away = { server: 's9', at: -10000, until: 1e9 };

export const late: ExecutionRecord = {
  ...executed,
  server: 's9',
  key: 't/l',
  attempt: 'i7',
  began: -7000,
  at: -6990,
};

export const split = Array.from({ length: 30 }, (_, i): ExecutionRecord => ({
  ...executed,
  key: `t/w${i}`,
  attempt: `w${i}`,
  began: 2000 + i,
  at: 2001 + i,
  pool: i % 3 === 0 ? 'shop' : 'more',
}));

export const wide = {
  version: 3,
  text: 'c2',
  turnPools: ['models'],
  callPools: ['shop', 'more'],
  sentAt: 1000,
  reported: 'unknown' as const,
  reportedAt: 1100,
};

export const ev = (...ns: readonly number[]): string =>
  ns.map((n) => `id: ${n}\ndata: d${n}\n\n`).join('');

export const passed: PassRecord = {
  manner: 'keyed',
  path: '/keyed/x',
  resumable: false,
  key: 'pk',
  attempt: 'a1',
  program: '',
  budget: null,
  most: 4,
  after: '',
  input: 'in',
  from: 100,
  to: 200,
  reported: 'done',
  status: 200,
  errorCode: '',
  retryAfter: 0,
  body: 'out',
};

export const passExecuted: ExecutionRecord = {
  ...executed,
  kind: 'pass',
  key: 'pk',
  attempt: 'a1',
  said: 'in',
  reply: 'out',
};

export const root: PassRecord = {
  ...passed,
  manner: 'stream',
  path: '/turn/x',
  key: '',
  attempt: 'a2',
  program: 'pp',
  budget: 6,
  body: ev(0, 1),
};

export const next: PassRecord = {
  ...root,
  attempt: 'a3',
  after: 'a2',
  input: 'more',
  from: 300,
  to: 400,
  body: ev(0, 1, 2),
};

export const live: PassRecord = {
  ...root,
  path: '/live/x',
  resumable: true,
  attempt: 'a4',
  program: '',
  budget: null,
  body: ev(0, 1, 2),
};

export const not: PassRecord = {
  ...passed,
  manner: 'once',
  path: '/once/x',
  key: '',
  attempt: 'a5',
  reported: 'refused',
  status: 503,
  body: '',
};

export const rootExecuted: ExecutionRecord = {
  ...passExecuted,
  key: '',
  attempt: 'a2',
  program: 'pp',
  reply: ev(0, 1),
  tokens: 2,
};

export const nextExecuted: ExecutionRecord = {
  ...rootExecuted,
  attempt: 'a3',
  said: 'ind0\nd1\nmore',
  reply: ev(0, 1, 2),
  tokens: 3,
};

const liveExecutions: readonly ExecutionRecord[] = [
  { ...rootExecuted, attempt: 'a4', program: '', reply: ev(0), complete: false, tokens: 1 },
  { ...rootExecuted, attempt: 'a4', program: '', reply: ev(1, 2), tokens: 2 },
];

export const passes: readonly PassRecord[] = [passed, root, next, live, not];

const passExecutions: readonly ExecutionRecord[] = [
  passExecuted,
  rootExecuted,
  nextExecuted,
  ...liveExecutions,
];

export const configRead: ConfigCall = {
  what: { kind: 'read' },
  calledAt: 1,
  answeredAt: 2,
  answer: { kind: 'value', version: 0, content: '' },
};

export const good: Records = {
  ...emptyRecords,
  passes,
  reported: [
    program,
    turn,
    fetched,
    reported,
    { ...reported, attempt: 'i3', from: 300, to: 350 },
    refused,
  ],
  executed: [executed, gen, late, ...split, ...passExecutions],
  configs: [first, config, wide],
  configCalls: [configRead],
  drainings: [away],
  restarts: [{ stoppedAt: 0, startedAt: 0, servedAt: 5000, configBefore: 2, configAfter: 2 }],
  shares: [
    {
      kind: 'act',
      from: 1999,
      to: 3000,
      shares: [
        ['shop', 1],
        ['more', 2],
      ],
      rounding: 2,
    },
  ],
  readBack: { version: 2, text: 'c1' },
  perTurn: 4,
};

export const brokenOff = (...ns: readonly number[]): Records => ({
  ...good,
  executed: [
    ...good.executed,
    { ...rootExecuted, attempt: 'a9', reply: ev(...ns), complete: false, tokens: ns.length },
  ],
  passes: [...passes, { ...root, attempt: 'a9', reported: 'partial', body: ev(...ns) }],
});
