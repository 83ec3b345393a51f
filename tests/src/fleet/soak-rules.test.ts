/** The rules of a soak, checked on constructed records that break one rule or are allowed by it. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ExecutionRecord, PassRecord } from '@tillerstair/checker';
import { checkSoak, type SoakBounds, type SoakEvent, type SoakRecords } from '@tillerstair/fleet';

const rules = suite('rules of a soak');

const bounds: SoakBounds = { graceMs: 8000, settleMs: 3000, lossSlackMs: 200, ackWithinMs: 4000 };
const front = '127.0.0.1:1';

const passOf = (attempt: string, from: number, to: number): PassRecord => ({
  manner: 'once',
  path: '/once/x',
  resumable: false,
  key: '',
  attempt,
  program: '',
  budget: null,
  most: 0,
  after: '',
  input: 'x',
  from,
  to,
  reported: 'unknown',
  status: 0,
  errorCode: '',
  retryAfter: 0,
  body: '',
});

/** A request whose connection closed before its answer was complete. */
const cutRequest = (sentAt: number, endedAt: number): SoakRecords['requests'][number] => ({
  pass: passOf('a', sentAt, endedAt),
  front,
  answer: { sentAt, endedAt, status: 0, complete: false, body: '', retryAfter: 0 },
});

const executionOf = (attempt: string): ExecutionRecord => ({
  kind: 'pass',
  server: 's',
  pool: 'p',
  key: '',
  attempt,
  program: '',
  began: 0,
  at: 1,
  said: 'x',
  reply: 'y',
  complete: true,
  tokens: 0,
});

const eventAt = (at: number, kind: SoakEvent['kind'], machine: SoakEvent['machine'] = 'front') => ({
  at,
  machine,
  address: front,
  kind,
  text: 'p',
});

const noRecords: SoakRecords = {
  requests: [],
  finalAttempts: [],
  executed: [],
  events: [],
  orders: [],
  configCalls: [],
  configReadBack: true,
};

const breachesOf = (records: Partial<SoakRecords>, ruleText: string): number =>
  checkSoak({ ...noRecords, ...records }, bounds).find(({ rule }) => rule.includes(ruleText))
    ?.breaches.length ?? -1;

rules('LOST: a cut request that was executed or outlasted the slack breaks the rule', () => {
  const quick = [cutRequest(0, 100)];
  assert.is(breachesOf({ requests: quick }, 'LOST'), 0);
  assert.is(breachesOf({ requests: quick, executed: [executionOf('a')] }, 'LOST'), 1);
  assert.is(breachesOf({ requests: [cutRequest(0, 300)] }, 'LOST'), 1);
});

rules('LOST: only an early request may be cut, in the last sixth of the grace period', () => {
  const events = [eventAt(0, 'term')];
  const breachCount = (sentAt: number, endedAt: number): number =>
    breachesOf({ events, requests: [cutRequest(sentAt, endedAt)] }, 'LOST');
  assert.is(breachCount(2900, 6800), 0);
  assert.is(breachCount(2900, 6600), 1);
  assert.is(breachCount(3100, 6800), 1);
});

rules('LOST: a request during or soon after a fault is not checked', () => {
  const requests = [cutRequest(4000, 4300)];
  assert.is(breachesOf({ requests, events: [eventAt(1500, 'killed')] }, 'LOST'), 0);
  assert.is(breachesOf({ requests, events: [eventAt(500, 'killed')] }, 'LOST'), 1);
  assert.is(breachesOf({ requests, events: [eventAt(3900, 'term')] }, 'LOST'), 1);
});

rules('acks: a late answer breaks the rule unless stores or controls were disturbed', () => {
  const orders = [{ sentAt: 5000, answeredAt: 9500, status: 200, attempts: 3 }];
  assert.is(breachesOf({ orders }, 'acks'), 1);
  assert.is(breachesOf({ orders, events: [eventAt(5500, 'term')] }, 'acks'), 1);
  assert.is(breachesOf({ orders, events: [eventAt(5500, 'term', 'control')] }, 'acks'), 0);
});

rules('a process that outlives its grace period or exits by itself breaks the rule', () => {
  const events = [eventAt(0, 'term'), eventAt(1, 'overdue'), eventAt(2, 'exited')];
  assert.is(breachesOf({ events }, 'within its grace'), 2);
});

rules('a configuration that cannot be read back breaks the rule', () => {
  assert.is(breachesOf({ configReadBack: false }, 'read back'), 1);
});

rules.run();
