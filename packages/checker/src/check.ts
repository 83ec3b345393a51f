/**
 * Entry point of the checker: applies every rule of `docs/never-list.md` to the records of one run. The records come
 * from callers, operators and servers; the checker never queries the system under test.
 */
import { checkConfigHistory } from './config-history.js';
import {
  acknowledgedConfigStaysInForce,
  drainingServersGetNoNewWork,
  poolsWereAllowed,
  readBackIsNewest,
  serviceResumesAfterRestart,
  workFollowsShares,
} from './configuration-rules.js';
import { attemptsOfKeyRunOnce, operationsRunOnce } from './operation-rules.js';
import { checkPassRules } from './pass-rules.js';
import { budgetsHold, historyIsRetained } from './program-rules.js';
import type { Records, ReplyRecord } from './records.js';
import {
  refusedRequestsDidNotRun,
  repliesMatchExecutions,
  streamsAreContiguous,
} from './reply-rules.js';
import { defaultTolerances, type RuleResult, type Tolerances } from './rule-result.js';

/** Checks every rule; returns one result per rule, in the order of `docs/never-list.md`. */
export const checkRecords = (
  records: Records,
  tolerances: Tolerances = defaultTolerances,
): readonly RuleResult[] => [
  operationsRunOnce(records),
  attemptsOfKeyRunOnce(records, tolerances),
  refusedRequestsDidNotRun(records),
  repliesMatchExecutions(records),
  budgetsHold(records),
  historyIsRetained(records, tolerances),
  streamsAreContiguous(records),
  drainingServersGetNoNewWork(records, tolerances),
  workFollowsShares(records),
  acknowledgedConfigStaysInForce(records, tolerances),
  poolsWereAllowed(records),
  readBackIsNewest(records),
  checkConfigHistory(records.configCalls),
  serviceResumesAfterRestart(records, tolerances),
  ...checkPassRules(records, tolerances),
];

const countBy = (
  replies: readonly ReplyRecord[],
  keyOf: (reply: ReplyRecord) => string,
): ReadonlyMap<string, number> => {
  const counts = new Map<string, number>();
  for (const reply of replies) counts.set(keyOf(reply), (counts.get(keyOf(reply)) ?? 0) + 1);
  return counts;
};

/** Counts replies by kind and reported outcome; a key is, for example, `turn done`. */
export const countByOutcome = (replies: readonly ReplyRecord[]): ReadonlyMap<string, number> =>
  countBy(replies, ({ kind, reported }) => `${kind} ${reported}`);

/** Counts the replies with an outcome other than `done`, by outcome and error code. */
export const countFailures = (replies: readonly ReplyRecord[]): ReadonlyMap<string, number> =>
  countBy(
    replies.filter((reply) => reply.reported !== 'done'),
    ({ reported, errorCode }) => `${reported} ${errorCode || 'without an error code'}`,
  );
