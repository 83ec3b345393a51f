import type { RuleResult } from './results.js';

/**
 * Checks the operators' calls on the configuration for linearizability against a versioned compare-and-set register.
 *
 * The register holds the newest version and the changes that were taken. A change is taken if it was taken before (it is
 * acknowledged again), or else if it builds on the newest version; it is refused otherwise. Each call with an answer must
 * take effect at one moment between its beginning and its end; one without a clear answer may take effect at any moment
 * after it began, or never.
 *
 * The search is that of Wing and Gong. Calls that alter nothing are placed as soon as they fit, so it branches only
 * where several changes build on the same version, and states that were reached before are not searched again.
 */
export type ConfigAnswer =
  | { readonly kind: 'taken' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'value'; readonly version: number; readonly content: string }
  /** The call surely did nothing: it was invalid, or no master ran it. */
  | { readonly kind: 'no-effect' }
  | { readonly kind: 'unclear' };

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
  readonly taken: ReadonlySet<string>;
}

const empty: Register = { version: 0, content: '', taken: new Set() };

const changeIdOf = (c: ConfigCall): string | undefined =>
  c.what.kind === 'change' ? c.what.changeId : undefined;

const mustHappen = (c: ConfigCall): boolean => c.answer.kind !== 'unclear';

const after = (r: Register, c: Change): Register => ({
  version: c.version,
  content: c.content,
  taken: new Set(r.taken).add(c.changeId),
});

/** Whether a call that alters nothing could have had its answer at this state. */
const fits = (r: Register, c: ConfigCall): boolean => {
  if (c.what.kind === 'read') {
    if (c.answer.kind !== 'value' || c.answer.version !== r.version) return false;
    return r.content === undefined || c.answer.content === r.content;
  }
  if (r.taken.has(c.what.changeId)) return c.answer.kind === 'taken';
  return c.answer.kind === 'refused' && c.what.base !== r.version;
};

/** Whether a call may change the state from this one. */
const applies = (r: Register, c: ConfigCall): c is ConfigCall & { readonly what: Change } =>
  c.what.kind === 'change' &&
  c.answer.kind !== 'refused' &&
  c.what.base === r.version &&
  !r.taken.has(c.what.changeId);

/** Whether a call without a clear answer may still alter something; versions only go up. */
const mayStillApply = (r: Register, c: ConfigCall): boolean =>
  c.what.kind === 'change' && c.what.base >= r.version && !r.taken.has(c.what.changeId);

/** The latest moment by which one of the calls that must happen has to have taken effect. */
const deadlineOf = (pending: readonly ConfigCall[]): number =>
  Math.min(...pending.filter(mustHappen).map((c) => c.answeredAt));

/** Places every call that alters nothing and fits this state, and forgets calls without an answer that can do nothing more. */
const settled = (r: Register, pending: readonly ConfigCall[]): readonly ConfigCall[] => {
  let left = pending;
  for (;;) {
    const deadline = deadlineOf(left);
    const next = left.filter((c) => {
      if (c.answer.kind === 'unclear') return mayStillApply(r, c);
      return c.calledAt > deadline || !fits(r, c);
    });
    if (next.length === left.length) return left;
    left = next;
  }
};

const keyOf = (r: Register, pending: readonly (readonly [ConfigCall, number])[]): string => {
  const orders = new Set(pending.flatMap(([c]) => changeIdOf(c) ?? []));
  const taken = [...r.taken].filter((o) => orders.has(o)).sort();
  return [r.version, r.content ?? '', pending.map(([, n]) => n).join(','), ...taken].join('|');
};

const listReport = (c: ConfigCall): string => {
  const what =
    c.what.kind === 'read'
      ? 'a read'
      : `change ${c.what.changeId} of ${c.what.base} to ${c.what.version}`;
  const answer = c.answer.kind === 'value' ? `version ${c.answer.version}` : c.answer.kind;
  return `${what} from ${c.calledAt.toFixed(0)} to ${c.answeredAt.toFixed(0)} got ${answer}`;
};

interface Step {
  readonly register: Register;
  readonly pending: readonly ConfigCall[];
}

/** The calls that fit no order of events, in the attempt that got furthest; empty where the history is linearizable. */
const stuckAt = (calls: readonly ConfigCall[]): readonly ConfigCall[] => {
  const number = new Map(calls.map((c, n) => [c, n]));
  const seen = new Set<string>();
  const steps: Step[] = [{ register: empty, pending: calls }];
  let fewest = Infinity;
  let stuck: readonly ConfigCall[] = [];
  for (let step = steps.pop(); step; step = steps.pop()) {
    const { register } = step;
    const pending = settled(register, step.pending);
    const must = pending.filter(mustHappen);
    if (must.length === 0) return [];
    const key = keyOf(
      register,
      pending.map((c) => [c, number.get(c) ?? 0]),
    );
    if (seen.has(key)) continue;
    seen.add(key);
    const deadline = deadlineOf(pending);
    if (must.length < fewest) {
      fewest = must.length;
      stuck = must.filter((c) => c.calledAt <= deadline);
    }
    const unclearFirst = [...pending.filter((c) => !mustHappen(c)), ...must];
    for (const c of unclearFirst)
      if (c.calledAt <= deadline && applies(register, c))
        steps.push({ register: after(register, c.what), pending: pending.filter((x) => x !== c) });
  }
  return stuck;
};

/** The rule that the calls of all operators together are as if each had taken effect at one moment. */
export const configHistory = (calls: readonly ConfigCall[]): RuleResult => {
  const counted = calls.filter(
    (c) => c.answer.kind !== 'no-effect' && (c.what.kind === 'change' || c.answer.kind === 'value'),
  );
  const stuck = stuckAt([...counted].sort((a, b) => a.calledAt - b.calledAt));
  const breaches =
    stuck.length === 0
      ? []
      : [`no order of events explains: ${stuck.slice(0, 4).map(listReport).join('; ')}`];
  return {
    rule: "the operators' calls are as if each took effect at one moment",
    checked: counted.filter(mustHappen).length,
    breaches,
  };
};
