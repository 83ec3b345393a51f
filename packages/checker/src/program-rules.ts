/** Rules on programs: token budgets, and retention of history. */
import type { Records, ReplyRecord } from './records.js';
import type { RuleResult, Tolerances } from './rule-result.js';

/** The program that holds the budget. A sub-agent shares its parent's, and is named after it: `parent~suffix`. */
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

/** Tokens that callers received, by budget holder; of several attempts of a turn, only the longest counts. */
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

/** Checks that no program receives or generates more tokens than its budget plus one turn. */
export const budgetsHold = (records: Records): RuleResult => {
  const granted = grantedBudgets(records);
  const received = receivedTokens(records);
  const generated = generatedTokens(records);
  const breaches: string[] = [];
  for (const [program, budget] of granted) {
    const receivedTotal = received.get(program) ?? 0;
    const generatedTotal = generated.get(program) ?? 0;
    if (receivedTotal > budget + records.perTurn)
      breaches.push(
        `callers received ${receivedTotal} tokens of program ${program}, whose budget is ${budget}`,
      );
    if (generatedTotal > budget + records.perTurn)
      breaches.push(
        `servers generated ${generatedTotal} tokens for program ${program}, whose budget is ${budget}`,
      );
  }
  const checked = [...granted].filter(
    ([program, budget]) => (generated.get(program) ?? 0) > budget / 2,
  ).length;
  return { rule: 'no program hands out more than its budget and one turn', checked, breaches };
};

/** A program or turn that a request read, and the error codes that would report it as missing. */
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
    subject: `turn ${program} ${after}, which precedes the new turn,`,
  };
  return [ofProgram, ofPrevious];
};

/** Times (ms) at which programs and turns were last known to exist, by the replies added so far. */
class LastSeenTimes {
  private readonly times = new Map<string, number>();

  timeOf(id: string): number | undefined {
    return this.times.get(id);
  }

  /** Adds a reply: each turn renews the retention of its program; that of a turn starts once, at its first end. */
  add(reply: ReplyRecord): void {
    if (reply.reported !== 'done') return;
    if (reply.kind === 'program' || reply.kind === 'turn') this.advance(reply.program, reply.to);
    const turnId = `${reply.program} ${reply.turn}`;
    if (reply.kind === 'turn' && !this.times.has(turnId)) this.advance(turnId, reply.to);
  }

  private advance(id: string, at: number): void {
    this.times.set(id, Math.max(this.times.get(id) ?? -Infinity, at));
  }
}

/** Checks that programs and turns are not reported missing within `historyMs` of when they were last known to exist. */
export const historyIsRetained = (records: Records, tolerances: Tolerances): RuleResult => {
  const times = new LastSeenTimes();
  const breaches: string[] = [];
  let checked = 0;
  for (const reply of [...records.reported].sort((a, b) => a.to - b.to)) {
    for (const { id, missingCodes, subject } of historyReadsOf(reply)) {
      const at = times.timeOf(id);
      if (at === undefined || reply.from < at || reply.to - at > tolerances.historyMs) continue;
      checked++;
      if (missingCodes.includes(reply.errorCode))
        breaches.push(
          `${subject} was reported missing ${reply.to - at} ms after it was last known to exist`,
        );
    }
    times.add(reply);
  }
  return { rule: 'finished history is not reported missing', checked, breaches };
};
