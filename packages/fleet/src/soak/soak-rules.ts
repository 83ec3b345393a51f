/**
 * The rules of a soak, checked on the records of its clients, servers and operators and on the exits of its processes.
 */
import {
  checkConfigHistory,
  defaultTolerances,
  emptyRecords,
  checkPassRules,
  type RuleResult,
} from '@tillerstair/checker';
import type { ConfigCall, ExecutionRecord } from '@tillerstair/checker';
import { recordingPools } from '@tillerstair/sim';
import type { ClientRequest } from './soak-clients.js';
import type { SoakOrder } from './soak-operators.js';

/** A signal sent to a machine, or a start or exit of one of its processes. Times are in ms of the steady clock. */
export interface SoakEvent {
  readonly at: number;
  readonly machine: 'front' | 'store' | 'control';
  /** The HTTP address: a front serves clients there, other machines their status pages. */
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
  /** Details for the report of a broken rule; may be empty. */
  readonly text: string;
}

/** The time limits that a soak is checked against, in ms. */
export interface SoakBounds {
  /** Time from SIGTERM until a process that still runs is killed. */
  readonly graceMs: number;
  /**
   * Time after a fault (for orders: after any event of a store or control) in which requests and orders are not
   * checked.
   */
  readonly settleMs: number;
  /** A connection that a front closes within this time of the request counts as not accepted. */
  readonly lossSlackMs: number;
  /** Limit for the answer to an order, from its first attempt. */
  readonly ackWithinMs: number;
}

/** All records of a soak. */
export interface SoakRecords {
  readonly requests: readonly ClientRequest[];
  /** The last attempts, after all disturbances, with keys that had no answer before. */
  readonly finalAttempts: readonly string[];
  readonly executed: readonly ExecutionRecord[];
  readonly events: readonly SoakEvent[];
  readonly orders: readonly SoakOrder[];
  readonly configCalls: readonly ConfigCall[];
  /** Whether a control returned the configuration after the traffic had ended. */
  readonly configReadBack: boolean;
}

/** Requests sent within this share of the grace period may be cut in its last sixth, as the users' pages specify. */
const earlyShare = 3 / 8;
const cutsAllowedFromShare = 5 / 6;

const faultKinds: ReadonlySet<SoakEvent['kind']> = new Set([
  'killed',
  'frozen',
  'exited',
  'overdue',
  'reloadedWhileLoading',
]);

const overlapsFault = (
  { events }: SoakRecords,
  { settleMs: calmMs }: SoakBounds,
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
      answer.endedAt >= at + graceMs * cutsAllowedFromShare,
  );

const describeLoss = ({ events }: SoakRecords, { pass, front, answer }: ClientRequest): string => {
  const signal = events.findLast(
    ({ kind, address, at }) => kind === 'term' && address === front && at <= answer.endedAt,
  );
  const sinceSignal = signal ? `${Math.round(answer.sentAt - signal.at)} ms after SIGTERM` : '';
  const durationMs = Math.round(answer.endedAt - answer.sentAt);
  return `${pass.attempt} ${pass.path} at ${front} ${sinceSignal} ended with ${answer.status} after ${durationMs} ms`;
};

const acceptedRequestsComplete = (records: SoakRecords, bounds: SoakBounds): RuleResult => {
  const executed = new Set(records.executed.map(({ attempt }) => attempt));
  const checked = records.requests.filter(
    ({ answer }) => !overlapsFault(records, bounds, answer.sentAt, answer.endedAt),
  );
  const lost = checked.filter((request) => {
    const { pass, answer } = request;
    const durationMs = answer.endedAt - answer.sentAt;
    const accepted = executed.has(pass.attempt) || durationMs > bounds.lossSlackMs;
    return !answer.complete && accepted && !isExcusedCut(records, bounds, request);
  });
  return {
    rule: 'a request that was accepted has a complete answer (LOST)',
    checked: checked.length,
    breaches: lost.map((request) => describeLoss(records, request)),
  };
};

const ordersAnsweredInTime = (records: SoakRecords, bounds: SoakBounds): RuleResult => {
  const isUndisturbed = ({ sentAt, answeredAt }: SoakOrder): boolean =>
    !records.events.some(
      ({ machine, at }) =>
        machine !== 'front' && at >= sentAt - bounds.settleMs && at <= answeredAt,
    );
  const checked = records.orders.filter(isUndisturbed);
  const late = checked.filter(({ sentAt, answeredAt }) => answeredAt - sentAt > bounds.ackWithinMs);
  return {
    rule: 'an order is accepted or rejected in time while no store or control is disturbed (acks)',
    checked: checked.length,
    breaches: late.map(
      ({ sentAt, answeredAt, status, attempts }) =>
        `an order took ${Math.round(answeredAt - sentAt)} ms in ${attempts} attempts, last status ${status}`,
    ),
  };
};

const processesExitInTime = ({ events }: SoakRecords): RuleResult => ({
  rule: 'a process exits only when it is signalled, and then within its grace period',
  checked: events.filter(({ kind }) => kind === 'term').length,
  breaches: events
    .filter(({ kind }) => kind === 'overdue' || kind === 'exited')
    .map(({ kind, text }) => `${kind}: ${text}`),
});

const configWasReadBack = ({ configReadBack }: SoakRecords): RuleResult => ({
  rule: 'the configuration is read back at the end',
  checked: 1,
  breaches: configReadBack ? [] : ['no control returned the configuration'],
});

/** Checks every rule that the records of a soak can break. */
export const checkSoak = (records: SoakRecords, bounds: SoakBounds): readonly RuleResult[] => {
  const passes = records.requests.map(({ pass }) => pass);
  return [
    acceptedRequestsComplete(records, bounds),
    ordersAnsweredInTime(records, bounds),
    processesExitInTime(records),
    configWasReadBack(records),
    checkConfigHistory(records.configCalls),
    ...checkPassRules(
      {
        ...emptyRecords,
        passes,
        executed: records.executed,
        recordingPools,
        finalAttempts: records.finalAttempts,
      },
      defaultTolerances,
    ),
  ];
};
