/** What a soak is judged by, from what its clients, servers and operators saw and from how its processes ended. */
import {
  checkConfigHistory,
  defaultTolerances,
  emptyRecords,
  checkPassRules,
  type RuleResult,
} from '@tillerstair/checker';
import type { ConfigCall, ExecutionRecord } from '@tillerstair/checker';
import type { ClientRequest } from './soak-clients.js';
import type { SoakOrder } from './soak-operators.js';

/** Something that was done to a machine, or that one of its processes did. Times are in ms of the steady clock. */
export interface SoakEvent {
  readonly at: number;
  readonly machine: 'front' | 'store' | 'control';
  /** The address at which a front serves clients; else that of its pages. */
  readonly address: string;
  readonly kind:
    | 'term'
    | 'reload'
    | 'ended'
    | 'started'
    | 'killed'
    | 'frozen'
    | 'overdue'
    | 'exited'
    | 'reloadedWhileLoading';
  readonly text: string;
}

/** The bounds that a soak is judged by, in ms. */
export interface SoakBounds {
  /** Processes are killed this long after SIGTERM. */
  readonly graceMs: number;
  /** How long trouble has to be over for the bounds to hold. */
  readonly calmMs: number;
  readonly lossSlackMs: number;
  readonly ackWithinMs: number;
}

/** All that a soak recorded. */
export interface SoakRecords {
  readonly requests: readonly ClientRequest[];
  readonly executed: readonly ExecutionRecord[];
  readonly events: readonly SoakEvent[];
  readonly orders: readonly SoakOrder[];
  readonly configCalls: readonly ConfigCall[];
  readonly configReadBack: boolean;
}

/** Requests that came in this share of the grace may be cut in its last sixth, as the users' pages say. */
const earlyShare = 3 / 8;
const lastCutsShare = 5 / 6;

const faultKinds: ReadonlySet<SoakEvent['kind']> = new Set([
  'killed',
  'frozen',
  'exited',
  'overdue',
  'reloadedWhileLoading',
]);

const touchesFault = (
  { events }: SoakRecords,
  { calmMs }: SoakBounds,
  from: number,
  to: number,
): boolean =>
  events.some(({ kind, at }) => faultKinds.has(kind) && at >= from - calmMs && at <= to);

const isExcusedCut = (
  { events }: SoakRecords,
  { graceMs }: SoakBounds,
  { front, answer }: ClientRequest,
): boolean =>
  events.some(
    ({ kind, address, at }) =>
      kind === 'term' &&
      address === front &&
      answer.sentAt <= at + graceMs * earlyShare &&
      answer.endedAt >= at + graceMs * lastCutsShare,
  );

const describe = ({ events }: SoakRecords, { pass, front, answer }: ClientRequest): string => {
  const signal = events.findLast(
    ({ kind, address, at }) => kind === 'term' && address === front && at <= answer.endedAt,
  );
  const sinceSignal = signal ? `${Math.round(answer.sentAt - signal.at)} ms after SIGTERM` : '';
  const lastedMs = Math.round(answer.endedAt - answer.sentAt);
  return `${pass.attempt} ${pass.path} at ${front} ${sinceSignal} ended with ${answer.status} after ${lastedMs} ms`;
};

const nothingIsLost = (records: SoakRecords, bounds: SoakBounds): RuleResult => {
  const executed = new Set(records.executed.map(({ attempt }) => attempt));
  const judged = records.requests.filter(
    ({ answer }) => !touchesFault(records, bounds, answer.sentAt, answer.endedAt),
  );
  const lost = judged.filter((request) => {
    const { pass, answer } = request;
    const heldMs = answer.endedAt - answer.sentAt;
    const taken = executed.has(pass.attempt) || heldMs > bounds.lossSlackMs;
    return !answer.complete && taken && !isExcusedCut(records, bounds, request);
  });
  return {
    rule: 'a request that was taken has a complete answer (LOST)',
    checked: judged.length,
    breaches: lost.map((request) => describe(records, request)),
  };
};

const ordersAreAcknowledged = (records: SoakRecords, bounds: SoakBounds): RuleResult => {
  const isCoreCalm = ({ sentAt, answeredAt }: SoakOrder): boolean =>
    !records.events.some(
      ({ machine, at }) => machine !== 'front' && at >= sentAt - bounds.calmMs && at <= answeredAt,
    );
  const judged = records.orders.filter(isCoreCalm);
  const late = judged.filter(({ sentAt, answeredAt }) => answeredAt - sentAt > bounds.ackWithinMs);
  return {
    rule: 'an order has a clear answer in its time while the core is calm (acks)',
    checked: judged.length,
    breaches: late.map(
      ({ sentAt, answeredAt, status, attempts }) =>
        `an order took ${Math.round(answeredAt - sentAt)} ms, ${attempts} attempts, last ${status}`,
    ),
  };
};

const processesEndInOrder = ({ events }: SoakRecords): RuleResult => ({
  rule: 'a process ends only when it is told to, and then within its grace',
  checked: events.filter(({ kind }) => kind === 'term').length,
  breaches: events
    .filter(({ kind }) => kind === 'overdue' || kind === 'exited')
    .map(({ kind, text }) => `${kind}: ${text}`),
});

const configIsReadBack = ({ configReadBack }: SoakRecords): RuleResult => ({
  rule: 'the configuration is read back at the end',
  checked: 1,
  breaches: configReadBack ? [] : ['no control told it'],
});

/** The results of all rules that a soak can see. */
export const judgeSoak = (records: SoakRecords, bounds: SoakBounds): readonly RuleResult[] => {
  const passes = records.requests.map(({ pass }) => pass);
  return [
    nothingIsLost(records, bounds),
    ordersAreAcknowledged(records, bounds),
    processesEndInOrder(records),
    configIsReadBack(records),
    checkConfigHistory(records.configCalls),
    ...checkPassRules({ ...emptyRecords, passes, executed: records.executed }, defaultTolerances),
  ];
};
