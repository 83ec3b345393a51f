/**
 * Checks the operators' calls on the configuration for linearizability against a versioned compare-and-set register.
 *
 * The register holds the newest version and the set of accepted changes. It accepts a change that it accepted before
 * (and acknowledges it again) or that is based on the newest version, and refuses any other. A call with a definite
 * answer must take effect at one point between its invocation and its response; a call with an unclear answer may take
 * effect at any point after its invocation, or never.
 *
 * The search is that of Wing and Gong. A call that does not alter the register is linearized as soon as its answer
 * matches the register, so the search branches only where several changes have the same base version. Visited states
 * are not searched again.
 */
import type { RuleResult } from './rule-result.js';

/** The answer to an operator's call. */
export type ConfigAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'value'; readonly version: number; readonly content: string }
  /** The call certainly had no effect: it was invalid, or no master ran it. */
  | { readonly kind: 'no-effect' }
  /** The call may have taken effect, or may still do so. */
  | { readonly kind: 'unclear' };

/** One call of an operator: the operation, its start and end in ms, and its answer. */
export interface ConfigCall {
  readonly what:
    | { readonly kind: 'read' }
    /** `content` is undefined if the caller does not know the content that its change results in. */
    | {
        readonly kind: 'change';
        readonly changeId: string;
        readonly base: number;
        readonly version: number;
        readonly content: string | undefined;
      };
  readonly calledAt: number;
  /** Infinity if the call never ended. */
  readonly answeredAt: number;
  readonly answer: ConfigAnswer;
}

type Change = Extract<ConfigCall['what'], { kind: 'change' }>;

interface Register {
  readonly version: number;
  readonly content: string | undefined;
  readonly accepted: ReadonlySet<string>;
}

const emptyRegister: Register = { version: 0, content: '', accepted: new Set() };

const changeIdOf = ({ what }: ConfigCall): string | undefined =>
  what.kind === 'change' ? what.changeId : undefined;

const hasDefiniteAnswer = (call: ConfigCall): boolean => call.answer.kind !== 'unclear';

const afterChange = (register: Register, change: Change): Register => ({
  version: change.version,
  content: change.content,
  accepted: new Set(register.accepted).add(change.changeId),
});

/** Whether a call that does not alter the register would get its recorded answer from this state of the register. */
const isConsistent = (register: Register, { what, answer }: ConfigCall): boolean => {
  if (what.kind === 'read') {
    if (answer.kind !== 'value' || answer.version !== register.version) return false;
    return register.content === undefined || answer.content === register.content;
  }
  if (register.accepted.has(what.changeId)) return answer.kind === 'accepted';
  return answer.kind === 'refused' && what.base !== register.version;
};

/** Whether a call is a change that the register would accept in this state. */
const mayApply = (
  register: Register,
  call: ConfigCall,
): call is ConfigCall & { readonly what: Change } =>
  call.what.kind === 'change' &&
  call.answer.kind !== 'refused' &&
  call.what.base === register.version &&
  !register.accepted.has(call.what.changeId);

/** Whether a call with an unclear answer may still alter the register, whose version only increases. */
const mayStillApply = (register: Register, { what }: ConfigCall): boolean =>
  what.kind === 'change' && what.base >= register.version && !register.accepted.has(what.changeId);

/** The time (ms) by which at least one pending call with a definite answer must have taken effect. */
const deadlineOf = (pending: readonly ConfigCall[]): number =>
  Math.min(...pending.filter(hasDefiniteAnswer).map((call) => call.answeredAt));

/** Removes pending calls that can be linearized without a change of state, and unclear ones that cannot apply. */
const removePlaceableCalls = (
  register: Register,
  pending: readonly ConfigCall[],
): readonly ConfigCall[] => {
  let remaining = pending;
  for (;;) {
    const deadline = deadlineOf(remaining);
    const unplaced = remaining.filter((call) => {
      if (call.answer.kind === 'unclear') return mayStillApply(register, call);
      return call.calledAt > deadline || !isConsistent(register, call);
    });
    if (unplaced.length === remaining.length) return remaining;
    remaining = unplaced;
  }
};

/** Key of a search state; two states with the same key have the same successors. */
const searchKeyOf = (
  register: Register,
  pending: readonly ConfigCall[],
  numberOf: ReadonlyMap<ConfigCall, number>,
): string => {
  const pendingIds = new Set(pending.flatMap((call) => changeIdOf(call) ?? []));
  const accepted = [...register.accepted].filter((id) => pendingIds.has(id)).sort();
  const numbers = pending.map((call) => numberOf.get(call) ?? 0).join(',');
  return [register.version, register.content ?? '', numbers, ...accepted].join('|');
};

const describeCall = ({ what, calledAt, answeredAt, answer }: ConfigCall): string => {
  const operation =
    what.kind === 'read'
      ? 'a read'
      : `change ${what.changeId} of version ${what.base} to ${what.version}`;
  const result = answer.kind === 'value' ? `version ${answer.version}` : answer.kind;
  return `${operation} from ${calledAt.toFixed(0)} to ${answeredAt.toFixed(0)} ms answered ${result}`;
};

interface SearchState {
  readonly register: Register;
  readonly pending: readonly ConfigCall[];
}

/** The states after each possible next change; those of calls with a definite answer come last, to be popped first. */
const successorsOf = ({ register, pending }: SearchState): readonly SearchState[] => {
  const deadline = deadlineOf(pending);
  const unclear = pending.filter((call) => !hasDefiniteAnswer(call));
  const definite = pending.filter(hasDefiniteAnswer);
  return [...unclear, ...definite].flatMap((call) =>
    call.calledAt <= deadline && mayApply(register, call)
      ? [
          {
            register: afterChange(register, call.what),
            pending: pending.filter((other) => other !== call),
          },
        ]
      : [],
  );
};

/** The calls that could not be linearized in the longest partial order found; empty if the history is linearizable. */
const unexplainedCalls = (calls: readonly ConfigCall[]): readonly ConfigCall[] => {
  const numberOf = new Map(calls.map((call, number) => [call, number]));
  const seen = new Set<string>();
  const stack: SearchState[] = [{ register: emptyRegister, pending: calls }];
  let fewestRemaining = Infinity;
  let unexplained: readonly ConfigCall[] = [];
  for (let state = stack.pop(); state; state = stack.pop()) {
    const { register } = state;
    const pending = removePlaceableCalls(register, state.pending);
    const definite = pending.filter(hasDefiniteAnswer);
    if (definite.length === 0) return [];
    const key = searchKeyOf(register, pending, numberOf);
    if (seen.has(key)) continue;
    seen.add(key);
    if (definite.length < fewestRemaining) {
      const deadline = deadlineOf(pending);
      fewestRemaining = definite.length;
      unexplained = definite.filter((call) => call.calledAt <= deadline);
    }
    stack.push(...successorsOf({ register, pending }));
  }
  return unexplained;
};

/** Maximum number of calls that the text of a breach lists. */
const maxReportedCalls = 4;

/** Checks that the calls of all operators are linearizable; calls without effect and unanswered reads are ignored. */
export const checkConfigHistory = (calls: readonly ConfigCall[]): RuleResult => {
  const relevant = calls.filter(
    ({ what, answer }) =>
      answer.kind !== 'no-effect' && (what.kind === 'change' || answer.kind === 'value'),
  );
  const unexplained = unexplainedCalls([...relevant].sort((a, b) => a.calledAt - b.calledAt));
  const described = unexplained.slice(0, maxReportedCalls).map(describeCall).join('; ');
  return {
    rule: "the operators' calls are as if each took effect at one moment",
    checked: relevant.filter(hasDefiniteAnswer).length,
    breaches: unexplained.length === 0 ? [] : [`calls that fit no linearization: ${described}`],
  };
};
