/** Rules on programs: their token budgets, and how long their history is found. */
import type { Records, ReplyRecord } from './records.js';
import type { RuleResult, Tolerances } from './rule-result.js';

/** Sub-agents share the budget of the program they belong to; their names begin with its name. */
const budgetHolderOf = (program: string): string => program.split('~')[0] ?? program;

const grantedBudgets = (records: Records): ReadonlyMap<string, number> =>
  new Map(
    records.reported
      .filter(
        (reply) =>
          reply.kind === 'program' &&
          reply.reported === 'done' &&
          reply.program === budgetHolderOf(reply.program),
      )
      .map((reply) => [reply.program, Number(reply.sent)]),
  );

/** The tokens that callers received for each program; attempts of one turn count once, by the longest. */
const receivedTokens = (records: Records): ReadonlyMap<string, number> => {
  const longest = new Map<string, { readonly holder: string; readonly tokens: number }>();
  for (const turn of records.reported.filter((reply) => reply.kind === 'turn')) {
    const id = `${turn.program} ${turn.key}`;
    const tokens = Math.max(longest.get(id)?.tokens ?? 0, turn.chunks.length);
    longest.set(id, { holder: budgetHolderOf(turn.program), tokens });
  }
  const sums = new Map<string, number>();
  for (const { holder, tokens } of longest.values())
    sums.set(holder, (sums.get(holder) ?? 0) + tokens);
  return sums;
};

const generatedTokens = (records: Records): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>();
  for (const { kind, program, tokens } of records.executed) {
    if (kind !== 'generate') continue;
    const holder = budgetHolderOf(program);
    sums.set(holder, (sums.get(holder) ?? 0) + tokens);
  }
  return sums;
};

/** No program receives or causes more tokens than its budget and one turn. */
export const budgetsHold = (records: Records): RuleResult => {
  const granted = grantedBudgets(records);
  const received = receivedTokens(records);
  const generated = generatedTokens(records);
  const breaches: string[] = [];
  for (const [program, budget] of granted) {
    const toCallers = received.get(program) ?? 0;
    const fromServers = generated.get(program) ?? 0;
    if (toCallers > budget + records.perTurn)
      breaches.push(`callers received ${toCallers} tokens of program ${program} of ${budget}`);
    if (fromServers > budget + records.perTurn)
      breaches.push(`servers made ${fromServers} tokens for program ${program} of ${budget}`);
  }
  const checked = [...granted].filter(
    ([program, budget]) => (generated.get(program) ?? 0) > budget / 2,
  ).length;
  return { rule: 'no program hands out more than its budget and one turn', checked, breaches };
};

/** One reply that reads a program or turn: missing is false while it was seen lately. */
interface HistoryRead {
  readonly id: string;
  readonly missingCodes: readonly string[];
  readonly subject: string;
}

const historyReadsOf = (reply: ReplyRecord): readonly HistoryRead[] => {
  const { program, turn, after } = reply;
  if (reply.kind === 'fetch' && turn !== '')
    return [
      {
        id: `${program} ${turn}`,
        missingCodes: ['missing'],
        subject: `turn ${program} ${turn}`,
      },
    ];
  if (reply.kind !== 'turn') return [];
  const ofProgram = { id: program, missingCodes: ['missing'], subject: `program ${program}` };
  if (after === '') return [ofProgram];
  const ofPrevious = {
    id: `${program} ${after}`,
    missingCodes: ['missing', 'missing-turn'],
    subject: `turn ${program} ${after}, followed by another,`,
  };
  return [ofProgram, ofPrevious];
};

/** When programs and turns were last known to be there, by the replies so far. */
class HistoryTimes {
  private readonly times = new Map<string, number>();

  timeOf(id: string): number | undefined {
    return this.times.get(id);
  }

  /** Takes in a reply: a program lives on with each of its turns, a turn from its own end. */
  add(reply: ReplyRecord): void {
    if (reply.reported !== 'done') return;
    if (reply.kind === 'program' || reply.kind === 'turn') this.raise(reply.program, reply.to);
    const turnId = `${reply.program} ${reply.turn}`;
    if (reply.kind === 'turn' && !this.times.has(turnId)) this.raise(turnId, reply.to);
  }

  private raise(id: string, at: number): void {
    this.times.set(id, Math.max(this.times.get(id) ?? -Infinity, at));
  }
}

/** What ended is found, for as long as history has to last. */
export const historyIsRetained = (records: Records, tolerances: Tolerances): RuleResult => {
  const times = new HistoryTimes();
  const breaches: string[] = [];
  let checked = 0;
  for (const reply of [...records.reported].sort((a, b) => a.to - b.to)) {
    for (const { id, missingCodes, subject } of historyReadsOf(reply)) {
      const at = times.timeOf(id);
      if (at === undefined || reply.from < at || reply.to - at > tolerances.historyMs) continue;
      checked++;
      if (missingCodes.includes(reply.errorCode))
        breaches.push(`${subject} was reported missing ${reply.to - at} ms after it ended`);
    }
    times.add(reply);
  }
  return { rule: 'finished history is not reported missing', checked, breaches };
};
