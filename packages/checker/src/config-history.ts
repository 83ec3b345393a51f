/**
 * Checks the operators' calls on the configuration for linearizability against a versioned compare-and-set register.
 *
 * The register has the newest version and the changes that were accepted. A change is accepted if it was accepted before
 * (it is acknowledged again), or else if it builds on the newest version; it is refused otherwise. Each call with an
 * answer must take effect at one moment between its beginning and its end; one without a clear answer may take effect
 * at any moment after it began, or never.
 *
 * The search is that of Wing and Gong. Calls that alter nothing are placed as soon as they fit, so it branches only
 * where several changes build on the same version, and states that were reached before are not searched again.
 */
import type { RuleResult } from './rule-result.js';

/** What an operator's call was answered. */
export type ConfigAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'value'; readonly version: number; readonly content: string }
  /** The call surely did nothing: it was invalid, or no master ran it. */
  | { readonly kind: 'no-effect' }
  | { readonly kind: 'unclear' };

/** One call of an operator: what it asked for, when, and its answer. Times are in ms. */
export interface ConfigCall {
  readonly what:
    | { readonly kind: 'read' }
    /** `content` is undefined where the caller does not know what its change makes. */
    | {
        readonly kind: 'change';
        readonly changeId: string;
        readonly base: number;
        readonly version: number;
        readonly content: string | undefined;
      };
  readonly calledAt: number;
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

const mustHappen = (call: ConfigCall): boolean => call.answer.kind !== 'unclear';

const afterChange = (register: Register, change: Change): Register => ({
  version: change.version,
  content: change.content,
  accepted: new Set(register.accepted).add(change.changeId),
});

/** Whether a call that alters nothing could have had its answer at this state. */
const fits = (register: Register, { what, answer }: ConfigCall): boolean => {
  if (what.kind === 'read') {
    if (answer.kind !== 'value' || answer.version !== register.version) return false;
    return register.content === undefined || answer.content === register.content;
  }
  if (register.accepted.has(what.changeId)) return answer.kind === 'accepted';
  return answer.kind === 'refused' && what.base !== register.version;
};

/** Whether a call may change the state from this one. */
const applies = (
  register: Register,
  call: ConfigCall,
): call is ConfigCall & { readonly what: Change } =>
  call.what.kind === 'change' &&
  call.answer.kind !== 'refused' &&
  call.what.base === register.version &&
  !register.accepted.has(call.what.changeId);

/** Whether a call without a clear answer may still alter something; versions only go up. */
const mayStillApply = (register: Register, { what }: ConfigCall): boolean =>
  what.kind === 'change' && what.base >= register.version && !register.accepted.has(what.changeId);

/** The latest moment by which one of the calls that must happen has to have taken effect. */
const deadlineOf = (pending: readonly ConfigCall[]): number =>
  Math.min(...pending.filter(mustHappen).map((call) => call.answeredAt));

/** Places every call that alters nothing and fits this state, and drops unclear calls that can do nothing more. */
const unplacedCalls = (
  register: Register,
  pending: readonly ConfigCall[],
): readonly ConfigCall[] => {
  let remaining = pending;
  for (;;) {
    const deadline = deadlineOf(remaining);
    const next = remaining.filter((call) => {
      if (call.answer.kind === 'unclear') return mayStillApply(register, call);
      return call.calledAt > deadline || !fits(register, call);
    });
    if (next.length === remaining.length) return remaining;
    remaining = next;
  }
};

/** A state of the search: two with one key lead to the same ends. */
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
    what.kind === 'read' ? 'a read' : `change ${what.changeId} of ${what.base} to ${what.version}`;
  const result = answer.kind === 'value' ? `version ${answer.version}` : answer.kind;
  return `${operation} from ${calledAt.toFixed(0)} to ${answeredAt.toFixed(0)} got ${result}`;
};

interface SearchState {
  readonly register: Register;
  readonly pending: readonly ConfigCall[];
}

/** The states that the next change could lead to; clear calls are tried before unclear ones (the last is taken first). */
const successorsOf = ({ register, pending }: SearchState): readonly SearchState[] => {
  const deadline = deadlineOf(pending);
  const unclear = pending.filter((call) => !mustHappen(call));
  const clear = pending.filter(mustHappen);
  return [...unclear, ...clear].flatMap((call) =>
    call.calledAt <= deadline && applies(register, call)
      ? [
          {
            register: afterChange(register, call.what),
            pending: pending.filter((other) => other !== call),
          },
        ]
      : [],
  );
};

/** The calls that fit no order of events, in the attempt that got furthest; empty where the history is linearizable. */
const unexplainedCalls = (calls: readonly ConfigCall[]): readonly ConfigCall[] => {
  const numberOf = new Map(calls.map((call, number) => [call, number]));
  const seen = new Set<string>();
  const stack: SearchState[] = [{ register: emptyRegister, pending: calls }];
  let fewest = Infinity;
  let unexplained: readonly ConfigCall[] = [];
  for (let state = stack.pop(); state; state = stack.pop()) {
    const { register } = state;
    const pending = unplacedCalls(register, state.pending);
    const clear = pending.filter(mustHappen);
    if (clear.length === 0) return [];
    const key = searchKeyOf(register, pending, numberOf);
    if (seen.has(key)) continue;
    seen.add(key);
    if (clear.length < fewest) {
      const deadline = deadlineOf(pending);
      fewest = clear.length;
      unexplained = clear.filter((call) => call.calledAt <= deadline);
    }
    stack.push(...successorsOf({ register, pending }));
  }
  return unexplained;
};

/** How many of the calls that fit no order of events a breach names. */
const namedCalls = 4;

/** The rule that the calls of all operators together are as if each had taken effect at one moment. */
export const checkConfigHistory = (calls: readonly ConfigCall[]): RuleResult => {
  const counted = calls.filter(
    ({ what, answer }) =>
      answer.kind !== 'no-effect' && (what.kind === 'change' || answer.kind === 'value'),
  );
  const unexplained = unexplainedCalls([...counted].sort((a, b) => a.calledAt - b.calledAt));
  const named = unexplained.slice(0, namedCalls).map(describeCall).join('; ');
  return {
    rule: "the operators' calls are as if each took effect at one moment",
    checked: counted.filter(mustHappen).length,
    breaches: unexplained.length === 0 ? [] : [`no order of events explains: ${named}`],
  };
};
