/** Rules on keyed operations: an operation runs at most once, however many times it is sent. */
import type { ExecutionRecord, Records, ReplyRecord } from './records.js';
import { groupBy, type RuleResult, type Tolerances } from './rule-result.js';

/** The operation key as servers receive it: scoped to the tenant that sent it. */
const operationOf = (tenant: string, key: string): string =>
  `${encodeURIComponent(tenant)}/${encodeURIComponent(key)}`;

/** The tenant-scoped operation key of a reply to a call. */
export const operationOfReply = (reply: ReplyRecord): string =>
  operationOf(reply.tenant, reply.key);

/** The executions of keyed calls, by tenant-scoped operation key. */
export const executionsByOperation = (
  records: Records,
): ReadonlyMap<string, readonly ExecutionRecord[]> =>
  groupBy(
    records.executed.filter((execution) => execution.kind === 'act' && execution.key !== ''),
    (execution) => execution.key,
  );

/** Checks that no operation was executed more than once. */
export const operationsRunOnce = (records: Records): RuleResult => {
  const executions = executionsByOperation(records);
  const breaches = [...executions]
    .filter(([, rows]) => rows.length > 1)
    .map(([key, rows]) => `operation ${key} executed ${rows.length} times`);
  return { rule: 'no acting operation runs twice', checked: executions.size, breaches };
};

/** Counts the executions that end at most `withinMs` after the previous execution of the same operation. */
const countRepeats = (executions: readonly ExecutionRecord[], withinMs: number): number => {
  const times = executions.map((execution) => execution.at).sort((a, b) => a - b);
  return times.filter((at, i) => i > 0 && at - (times[i - 1] ?? 0) <= withinMs).length;
};

/** Checks that at most one attempt of an operation ran within `keyMs`, the time for which its key is remembered. */
export const attemptsOfKeyRunOnce = (records: Records, tolerances: Tolerances): RuleResult => {
  const executions = executionsByOperation(records);
  const calls = records.reported.filter((reply) => reply.kind === 'call' && reply.key !== '');
  const breaches: string[] = [];
  let checked = 0;
  for (const [operation, attempts] of groupBy(calls, operationOfReply)) {
    if (attempts.length < 2) continue;
    const executed = executions.get(operation) ?? [];
    if (executed.length > 0) checked++;
    for (let repeats = countRepeats(executed, tolerances.keyMs); repeats > 0; repeats--)
      breaches.push(
        `two attempts of operation ${operation} both ran within ${tolerances.keyMs} ms`,
      );
  }
  return { rule: 'two attempts with one key do not both run within a minute', checked, breaches };
};
