/** Rules on replies to turns and calls: refused requests did not run, and replies and streams match an execution. */
import { executionsByOperation, operationOfReply } from './operation-rules.js';
import type { ExecutionRecord, Records, ReplyRecord } from './records.js';
import { groupBy, type RuleResult } from './rule-result.js';

/** Number of characters at the end of a prompt that servers record. */
const recordedPromptLength = 60;

const promptKey = (program: string, prompt: string): string =>
  `${program}\n${prompt.slice(-recordedPromptLength)}`;

type Executions = ReadonlyMap<string, readonly ExecutionRecord[]>;

const turnExecutions = (records: Records): Executions =>
  groupBy(
    records.executed.filter((execution) => execution.kind === 'generate'),
    (execution) => promptKey(execution.program, execution.said),
  );

const executionsOfTurn = (executions: Executions, turn: ReplyRecord): readonly ExecutionRecord[] =>
  executions.get(promptKey(turn.program, turn.sent)) ?? [];

/** Checks that refused requests did not run, so that callers may safely retry them. */
export const refusedRequestsDidNotRun = (records: Records): RuleResult => {
  const refused = new Set(
    records.reported
      .filter((reply) => reply.reported === 'refused' && reply.attempt !== '')
      .map((reply) => reply.attempt),
  );
  const breaches = records.executed
    .filter((execution) => refused.has(execution.attempt))
    .map(
      (execution) =>
        `${execution.kind} of attempt ${execution.attempt} was reported refused but ran`,
    );
  return { rule: 'what was reported refused has not run', checked: refused.size, breaches };
};

const turnHasExecution = (executions: Executions, turn: ReplyRecord): boolean =>
  executionsOfTurn(executions, turn).some(
    (execution) =>
      execution.said !== '' &&
      turn.sent.endsWith(execution.said) &&
      execution.complete &&
      execution.reply === turn.text,
  );

/** Whether the server and the operation key that the reply to a call contains are those of one of its executions. */
const callHasExecution = (executions: Executions, call: ReplyRecord): boolean => {
  const [server = '', key = ''] = call.text.split(' ');
  const operation = operationOfReply(call);
  return (
    key === operation &&
    (executions.get(key) ?? []).some((execution) => execution.server === server)
  );
};

const wrongReplies = (records: Records, done: readonly ReplyRecord[]): readonly string[] => {
  const byPrompt = turnExecutions(records);
  const byOperation = executionsByOperation(records);
  return done.flatMap((reply) => {
    if (reply.kind === 'turn')
      return turnHasExecution(byPrompt, reply)
        ? []
        : [`turn ${reply.program} ${reply.key} got a reply that no execution produced`];
    return callHasExecution(byOperation, reply)
      ? []
      : [`call of operation ${operationOfReply(reply)} got a reply that no execution produced`];
  });
};

const turnIdOf = (reply: ReplyRecord): string => `${reply.program} ${reply.turn}`;

const wrongFetches = (records: Records): readonly string[] => {
  const done = records.reported.filter((reply) => reply.reported === 'done');
  const texts = new Map(
    done.filter((reply) => reply.kind === 'turn').map((turn) => [turnIdOf(turn), turn.text]),
  );
  return done
    .filter((reply) => reply.kind === 'fetch')
    .filter((fetch) => (texts.get(turnIdOf(fetch)) ?? fetch.text) !== fetch.text)
    .map((fetch) => `turn ${turnIdOf(fetch)} was fetched with a text other than its reply`);
};

/** Checks that every reply was produced by an execution of its own request, and that history returns the same text. */
export const repliesMatchExecutions = (records: Records): RuleResult => {
  const done = records.reported.filter(
    (reply) =>
      reply.reported === 'done' &&
      (reply.kind === 'turn' || (reply.kind === 'call' && reply.key !== '')),
  );
  const breaches = [...wrongReplies(records, done), ...wrongFetches(records)];
  return { rule: 'no foreign, cut or invented answer', checked: done.length, breaches };
};

/** Checks that the chunks of a stream are numbered without a gap and come from a single execution. */
export const streamsAreContiguous = (records: Records): RuleResult => {
  const turns = records.reported.filter(
    (reply) => reply.kind === 'turn' && reply.chunks.length > 0,
  );
  const executions = turnExecutions(records);
  const breaches: string[] = [];
  for (const turn of turns) {
    if (turn.chunks.some((chunk, i) => chunk !== i))
      breaches.push(`turn ${turn.program} ${turn.key} got chunks ${turn.chunks.join(',')}`);
    if (
      !executionsOfTurn(executions, turn).some((execution) => execution.reply.startsWith(turn.text))
    )
      breaches.push(
        `turn ${turn.program} ${turn.key} got a stream that matches no single execution`,
      );
  }
  return { rule: 'no stream skips, repeats or stitches', checked: turns.length, breaches };
};
