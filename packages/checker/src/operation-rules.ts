/** Rules on keyed operations: an operation runs once, however often it is sent. */
import type { ExecutionRecord, Records, ReplyRecord } from './records.js';
import { groupBy, type RuleResult, type Tolerances } from './rule-result.js';

/** The name of an operation as its server sees it: an operation key belongs to the tenant that sent it. */
const operationOf = (tenant: string, key: string): string =>
  `${encodeURIComponent(tenant)}/${encodeURIComponent(key)}`;

/** The operation that a reply to a call is about. */
export const operationOfReply = (reply: ReplyRecord): string =>
  operationOf(reply.tenant, reply.key);

/** What servers executed under each operation key. */
export const executionsByOperation = (
  records: Records,
): ReadonlyMap<string, readonly ExecutionRecord[]> =>
  groupBy(
    records.executed.filter((execution) => execution.kind === 'act' && execution.key !== ''),
    (execution) => execution.key,
  );

/** No operation is executed twice. */
export const operationsRunOnce = (records: Records): RuleResult => {
  const executions = executionsByOperation(records);
  const breaches = [...executions]
    .filter(([, rows]) => rows.length > 1)
    .map(([key, rows]) => `operation ${key} executed ${rows.length} times`);
  return { rule: 'no acting operation runs twice', checked: executions.size, breaches };
};

/** Counts the executions that follow another of the same operation too soon. */
const repeatsWithin = (executions: readonly ExecutionRecord[], withinMs: number): number => {
  const times = executions.map((execution) => execution.at).sort((a, b) => a - b);
  return times.filter((at, i) => i > 0 && at - (times[i - 1] ?? 0) <= withinMs).length;
};

/** Of two attempts with one operation key, at most one runs within the time that the key is remembered. */
export const attemptsOfKeyRunOnce = (records: Records, tolerances: Tolerances): RuleResult => {
  const executions = executionsByOperation(records);
  const calls = records.reported.filter((reply) => reply.kind === 'call' && reply.key !== '');
  const breaches: string[] = [];
  let checked = 0;
  for (const [operation, attempts] of groupBy(calls, operationOfReply)) {
    if (attempts.length < 2) continue;
    const executed = executions.get(operation) ?? [];
    if (executed.length > 0) checked++;
    for (let n = repeatsWithin(executed, tolerances.keyMs); n > 0; n--)
      breaches.push(`two attempts of ${operation} both ran`);
  }
  return { rule: 'two attempts with one key do not both run within a minute', checked, breaches };
};
