/** Rules on pass routes, whose requests are forwarded unchanged: single execution, exact bytes, prompts and budgets. */
import type { ExecutionRecord, PassRecord, Records } from './records.js';
import { groupBy, type RuleResult, type Tolerances } from './rule-result.js';

/** One server-sent event of a stream; `data` joins its data lines with line feeds. */
export interface StreamEvent {
  readonly id: number;
  readonly data: string;
}

const eventSeparator = '\n\n';
const dataPrefix = 'data: ';

/** Parses the complete events of a stream's body, in order; an incomplete event at the end is left out. */
const eventsOf = (body: string): readonly StreamEvent[] =>
  body.split(eventSeparator).flatMap((block) => {
    const id = /^id: (\d+)$/m.exec(block)?.[1];
    const data = block
      .split('\n')
      .flatMap((line) => (line.startsWith(dataPrefix) ? [line.slice(dataPrefix.length)] : []));
    return id !== undefined && data.length > 0 ? [{ id: Number(id), data: data.join('\n') }] : [];
  });

/** The output of a streamed turn as it enters the prompt of the next turn: the data of its events, one per line. */
export const outputOf = (body: string): string =>
  eventsOf(body)
    .map((event) => `${event.data}\n`)
    .join('');

const passExecutions = (records: Records): readonly ExecutionRecord[] =>
  records.executed.filter((execution) => execution.kind === 'pass');

type Executions = ReadonlyMap<string, readonly ExecutionRecord[]>;

const executionsByAttempt = (records: Records): Executions =>
  groupBy(passExecutions(records), (execution) => execution.attempt);

/** The executions that count towards single execution: all but broken-off ones at servers that record keys. */
const countedExecutions = (records: Records): readonly ExecutionRecord[] =>
  passExecutions(records).filter(
    ({ key, pool, complete }) => complete || key === '' || !records.recordingPools.includes(pool),
  );

const executionsByKey = (records: Records): Executions =>
  groupBy(
    passExecutions(records).filter((execution) => execution.key !== ''),
    (execution) => execution.key,
  );

const passesByAttempt = (records: Records): ReadonlyMap<string, PassRecord> =>
  new Map(records.passes.map((pass) => [pass.attempt, pass]));

/** Whether a request may run more than once: it is idempotent, or a stream that another execution can resume. */
const mayRepeat = (pass: PassRecord): boolean =>
  pass.manner === 'repeatable' || (pass.manner === 'stream' && pass.resumable);

const passesRunOnce = (records: Records): RuleResult => {
  const counted = countedExecutions(records);
  const executions = groupBy(counted, (execution) => execution.attempt);
  const byKey = groupBy(
    counted.filter((execution) => execution.key !== ''),
    (execution) => execution.key,
  );
  const unrepeatable = records.passes.filter((pass) => !mayRepeat(pass));
  const repeatedAttempts = unrepeatable
    .filter((pass) => (executions.get(pass.attempt) ?? []).length > 1)
    .map((pass) => `attempt ${pass.attempt} on ${pass.path} ran more than once`);
  const repeatedKeys = [...byKey]
    .filter(([, keyed]) => keyed.length > 1)
    .map(([key, keyed]) => `key ${key} of a pass route ran ${keyed.length} times`);
  return {
    rule: 'no pass that may not be repeated runs twice',
    checked: unrepeatable.filter((pass) => executions.has(pass.attempt)).length,
    breaches: [...repeatedAttempts, ...repeatedKeys],
  };
};

const finalAttemptsAreAnswered = (records: Records): RuleResult => {
  const passes = passesByAttempt(records);
  const breaches = records.finalAttempts.flatMap((attempt) => {
    const pass = passes.get(attempt);
    return pass?.reported === 'done'
      ? []
      : [`key ${pass?.key ?? ''} got ${pass?.errorCode ?? 'nothing'} for attempt ${attempt}`];
  });
  return {
    rule: 'a key whose service can answer gets its answer',
    checked: records.finalAttempts.length,
    breaches,
  };
};

const refusedPassesDidNotRun = (records: Records): RuleResult => {
  const executions = executionsByAttempt(records);
  const refused = records.passes.filter(
    (pass) => pass.reported === 'refused' && pass.manner !== 'repeatable',
  );
  const breaches = refused
    .filter((pass) => executions.has(pass.attempt))
    .map(
      (pass) => `attempt ${pass.attempt} on ${pass.path} was refused (${pass.errorCode}) and ran`,
    );
  return {
    rule: 'what was reported refused on a pass route has not run',
    checked: refused.length,
    breaches,
  };
};

const executedPassesWereSent = (records: Records): RuleResult => {
  const passes = passesByAttempt(records);
  const executions = passExecutions(records);
  const breaches = executions
    .filter(({ attempt }) => !passes.has(attempt))
    .map(({ server, attempt }) => `server ${server} ran attempt ${attempt}, which no caller sent`);
  return { rule: 'no pass runs that nobody sent', checked: executions.length, breaches };
};

/** Whether an execution produced exactly this body or, for a resumable stream, the part after the resumption. */
const producedBody = (pass: PassRecord, execution: ExecutionRecord): boolean => {
  if (!execution.complete) return false;
  if (execution.reply === pass.body) return true;
  return pass.manner === 'stream' && pass.resumable && pass.body.endsWith(execution.reply);
};

const completedPassesMatchServerBytes = (records: Records): RuleResult => {
  const byAttempt = executionsByAttempt(records);
  const byKey = executionsByKey(records);
  const done = records.passes.filter((pass) => pass.reported === 'done');
  const unproduced = done
    .filter((pass) => {
      const executions = pass.key === '' ? byAttempt.get(pass.attempt) : byKey.get(pass.key);
      return !(executions ?? []).some((execution) => producedBody(pass, execution));
    })
    .map(
      (pass) => `attempt ${pass.attempt} on ${pass.path} got a reply that no execution produced`,
    );
  const keyed = groupBy(
    done.filter((pass) => pass.key !== ''),
    (pass) => pass.key,
  );
  const inconsistent = [...keyed]
    .filter(([, passes]) => new Set(passes.map((pass) => pass.body)).size > 1)
    .map(([key]) => `key ${key} got replies with different bodies`);
  return {
    rule: "a pass reported done has its server's bytes",
    checked: done.length,
    breaches: [...unproduced, ...inconsistent],
  };
};

const streamBreaches = (pass: PassRecord, replies: readonly string[]): readonly string[] => {
  const { attempt, body } = pass;
  const ids = eventsOf(body).map((event) => event.id);
  const breaches: string[] = [];
  if (!body.endsWith(eventSeparator)) breaches.push(`attempt ${attempt} got an incomplete event`);
  if (ids.some((id, i) => id !== i))
    breaches.push(`attempt ${attempt} got events with ids ${ids.join(',')}`);
  if (!pass.resumable && !replies.some((reply) => reply.startsWith(body)))
    breaches.push(`attempt ${attempt} got a stream that matches no single execution`);
  const blocks = body.split(eventSeparator).filter((block) => block !== '');
  const isFromServer = (block: string): boolean =>
    replies.some((reply) => reply.includes(`${block}${eventSeparator}`));
  if (!blocks.every(isFromServer))
    breaches.push(`attempt ${attempt} got an event that no server sent`);
  return breaches;
};

const passStreamsAreContiguous = (records: Records): RuleResult => {
  const executions = executionsByAttempt(records);
  const streams = records.passes.filter((pass) => pass.manner === 'stream' && pass.body !== '');
  const breaches = streams.flatMap((pass) =>
    streamBreaches(
      pass,
      (executions.get(pass.attempt) ?? []).map((execution) => execution.reply),
    ),
  );
  return {
    rule: 'no stream on a pass route skips, repeats or tears',
    checked: streams.length,
    breaches,
  };
};

interface ConversationChain {
  /** The prompt that the server must receive: input and output of all previous turns, then the input of this turn. */
  readonly prompt: string;
  /** The nearest previous attempt that was not reported done; empty if all previous turns were. */
  readonly unknownAttempt: string;
}

/** Follows a conversation back from a turn, up to its first turn or to one whose output is not known. */
const chainOf = (pass: PassRecord, passes: ReadonlyMap<string, PassRecord>): ConversationChain => {
  let prompt = pass.input;
  let attempt = pass.after;
  for (
    let previous = passes.get(attempt);
    previous?.reported === 'done';
    previous = passes.get(attempt)
  ) {
    prompt = previous.input + outputOf(previous.body) + prompt;
    attempt = previous.after;
  }
  return { prompt, unknownAttempt: attempt };
};

const passesRunWithFullPrompt = (records: Records): RuleResult => {
  const passes = passesByAttempt(records);
  const breaches: string[] = [];
  let checked = 0;
  for (const { attempt, server, said } of passExecutions(records)) {
    const pass = passes.get(attempt);
    if (!pass) continue;
    const { prompt, unknownAttempt } = chainOf(pass, passes);
    // The expected prompt is not known without the output of every previous turn.
    if (unknownAttempt !== '' && pass.manner === 'stream') {
      if (!passes.has(unknownAttempt))
        breaches.push(
          `attempt ${attempt} ran though the earlier turn ${unknownAttempt} of its conversation was never sent`,
        );
      continue;
    }
    if (pass.after !== '') checked++;
    if (said !== prompt)
      breaches.push(`server ${server} ran attempt ${attempt} with a body other than the one sent`);
  }
  return {
    rule: 'a pass runs with its body byte for byte, its chain before it',
    checked,
    breaches,
  };
};

const passBudgetsHold = (records: Records): RuleResult => {
  const turns = records.passes.filter((pass) => pass.manner === 'stream' && pass.program !== '');
  const breaches: string[] = [];
  let checked = 0;
  for (const [program, passes] of groupBy(turns, (pass) => pass.program)) {
    const budgeted = passes.filter((pass) => pass.budget !== null);
    if (budgeted.length === 0) continue;
    const budget = Math.max(...budgeted.map((pass) => pass.budget ?? 0));
    const longestTurn = Math.max(...budgeted.map((pass) => pass.most));
    const received = passes.reduce((sum, pass) => sum + eventsOf(pass.body).length, 0);
    // A program that used at most half of its budget does not show that the budget is enforced.
    if (received > budget / 2) checked++;
    if (received > budget + longestTurn)
      breaches.push(
        `callers received ${received} tokens of program ${program}, whose budget is ${budget}`,
      );
  }
  return {
    rule: 'no program on pass routes hands out more than its budget and one turn',
    checked,
    breaches,
  };
};

/** Statuses of a turn that is reported as not found or no longer retained. */
const missingStatuses: readonly number[] = [404, 410];

const passHistoryIsRetained = (records: Records, tolerances: Tolerances): RuleResult => {
  const passes = passesByAttempt(records);
  const followUps = records.passes.filter((pass) => {
    const previous = passes.get(pass.after);
    return (
      previous?.reported === 'done' &&
      previous.to < pass.from &&
      pass.to - previous.to <= tolerances.historyMs
    );
  });
  const breaches = followUps
    .filter((pass) => missingStatuses.includes(pass.status))
    .map(
      ({ after, status, errorCode, attempt }) =>
        `turn ${after} was reported ${status} ${errorCode} to attempt ${attempt}`,
    );
  return {
    rule: 'a turn of a pass route answered in full is not reported missing',
    checked: followUps.length,
    breaches,
  };
};

/** Checks all rules on pass routes; returns one result per rule. */
export const checkPassRules = (records: Records, tolerances: Tolerances): readonly RuleResult[] => [
  passesRunOnce(records),
  finalAttemptsAreAnswered(records),
  refusedPassesDidNotRun(records),
  executedPassesWereSent(records),
  completedPassesMatchServerBytes(records),
  passStreamsAreContiguous(records),
  passesRunWithFullPrompt(records),
  passBudgetsHold(records),
  passHistoryIsRetained(records, tolerances),
];
