/** Valid records of every kind. The tests of the checker override single fields or records to make them invalid. */
import {
  emptyRecords,
  type ConfigCall,
  type PassRecord,
  type ExecutionRecord,
  type Records,
  type ReplyRecord,
} from '@tillerstair/checker';

export const callReply: ReplyRecord = {
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

export const callExecution: ExecutionRecord = {
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

const turnPrompt = 'what is in stock? #1'.padEnd(60, ' ');

export const turnReply: ReplyRecord = {
  ...callReply,
  kind: 'turn',
  program: 'p',
  key: 't1',
  attempt: 'i2',
  turn: 'x',
  text: 'a b ',
  chunks: [0, 1],
  tokens: 2,
  sent: turnPrompt,
};

export const turnExecution: ExecutionRecord = {
  ...callExecution,
  kind: 'generate',
  pool: 'models',
  key: '',
  attempt: 'i2',
  program: 'p',
  said: turnPrompt,
  reply: 'a b ',
  tokens: 2,
};

export const firstConfig = {
  version: 1,
  text: 'c0',
  turnPools: ['early'],
  callPools: ['shop', 'early'],
  sentAt: -40000,
  reported: 'done' as const,
  reportedAt: -30000,
};

export const secondConfig = {
  version: 2,
  text: 'c1',
  turnPools: ['models'],
  callPools: ['shop'],
  sentAt: -20000,
  reported: 'done' as const,
  reportedAt: -10000,
};

export const programReply: ReplyRecord = {
  ...callReply,
  kind: 'program',
  program: 'p',
  key: '',
  attempt: '',
  sent: '3',
  text: '',
  from: 10,
  to: 20,
};

export const fetchReply: ReplyRecord = {
  ...turnReply,
  kind: 'fetch',
  key: '',
  attempt: '',
  from: 300,
  to: 400,
  chunks: [],
};

const refusedCallReply: ReplyRecord = {
  ...callReply,
  key: 'r',
  attempt: 'i9',
  reported: 'refused',
  text: '',
};

/** Server `s9` is draining from -10 s on. */
export const draining = { server: 's9', at: -10000, until: 1e9 };

/** Work that `s9` got 3 s after it was marked as draining, within the limit. */
export const drainingExecution: ExecutionRecord = {
  ...callExecution,
  server: 's9',
  key: 't/l',
  attempt: 'i7',
  began: -7000,
  at: -6990,
};

/** 30 calls split 1:2 over the pools `shop` and `more`. */
export const splitExecutions = Array.from({ length: 30 }, (_, i): ExecutionRecord => ({
  ...callExecution,
  key: `t/w${i}`,
  attempt: `w${i}`,
  began: 2000 + i,
  at: 2001 + i,
  pool: i % 3 === 0 ? 'shop' : 'more',
}));

/** A submitted configuration of unknown outcome that also allows the pool `more`. */
export const unknownConfig = {
  version: 3,
  text: 'c2',
  turnPools: ['models'],
  callPools: ['shop', 'more'],
  sentAt: 1000,
  reported: 'unknown' as const,
  reportedAt: 1100,
};

/** The body of an event stream with the given event ids. */
export const streamBody = (...eventIds: readonly number[]): string =>
  eventIds.map((id) => `id: ${id}\ndata: d${id}\n\n`).join('');

export const keyedPass: PassRecord = {
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

export const keyedExecution: ExecutionRecord = {
  ...callExecution,
  kind: 'pass',
  key: 'pk',
  attempt: 'a1',
  said: 'in',
  reply: 'out',
};

export const rootTurn: PassRecord = {
  ...keyedPass,
  manner: 'stream',
  path: '/turn/x',
  key: '',
  attempt: 'a2',
  program: 'pp',
  budget: 6,
  body: streamBody(0, 1),
};

export const nextTurn: PassRecord = {
  ...rootTurn,
  attempt: 'a3',
  after: 'a2',
  input: 'more',
  from: 300,
  to: 400,
  body: streamBody(0, 1, 2),
};

export const resumable: PassRecord = {
  ...rootTurn,
  path: '/live/x',
  resumable: true,
  attempt: 'a4',
  program: '',
  budget: null,
  body: streamBody(0, 1, 2),
};

export const refusedPass: PassRecord = {
  ...keyedPass,
  manner: 'once',
  path: '/once/x',
  key: '',
  attempt: 'a5',
  reported: 'refused',
  status: 503,
  body: '',
};

export const rootExecution: ExecutionRecord = {
  ...keyedExecution,
  key: '',
  attempt: 'a2',
  program: 'pp',
  reply: streamBody(0, 1),
  tokens: 2,
};

export const nextExecution: ExecutionRecord = {
  ...rootExecution,
  attempt: 'a3',
  said: 'ind0\nd1\nmore',
  reply: streamBody(0, 1, 2),
  tokens: 3,
};

/** The stream was cut off after event 0 and resumed with event 1. */
const resumableExecutions: readonly ExecutionRecord[] = [
  {
    ...rootExecution,
    attempt: 'a4',
    program: '',
    reply: streamBody(0),
    complete: false,
    tokens: 1,
  },
  { ...rootExecution, attempt: 'a4', program: '', reply: streamBody(1, 2), tokens: 2 },
];

export const passes: readonly PassRecord[] = [
  keyedPass,
  rootTurn,
  nextTurn,
  resumable,
  refusedPass,
];

const passExecutions: readonly ExecutionRecord[] = [
  keyedExecution,
  rootExecution,
  nextExecution,
  ...resumableExecutions,
];

export const configReadCall: ConfigCall = {
  what: { kind: 'read' },
  calledAt: 1,
  answeredAt: 2,
  answer: { kind: 'value', version: 0, content: '' },
};

export const valid: Records = {
  ...emptyRecords,
  passes,
  finalAttempts: [keyedPass.attempt],
  reported: [
    programReply,
    turnReply,
    fetchReply,
    callReply,
    { ...callReply, attempt: 'i3', from: 300, to: 350 },
    refusedCallReply,
  ],
  executed: [
    callExecution,
    turnExecution,
    drainingExecution,
    ...splitExecutions,
    ...passExecutions,
  ],
  configs: [firstConfig, secondConfig, unknownConfig],
  configCalls: [configReadCall],
  drainings: [draining],
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

/** Valid records and one more turn of program `pp`, whose stream was cut off after the given events. */
export const withPartialStream = (...eventIds: readonly number[]): Records => ({
  ...valid,
  executed: [
    ...valid.executed,
    {
      ...rootExecution,
      attempt: 'a9',
      reply: streamBody(...eventIds),
      complete: false,
      tokens: eventIds.length,
    },
  ],
  passes: [
    ...passes,
    { ...rootTurn, attempt: 'a9', reported: 'partial', body: streamBody(...eventIds) },
  ],
});
