/** Compares what two nodes take the cluster state for. */
import { isNewerVersion, type StateVersion } from '@tillerstair/state';
import type { NodeViewReply } from './messages.js';

/** A fact on which two views differ, with what each has; `nothing` where a view lacks it. */
interface Difference {
  readonly fact: string;
  readonly a: string;
  readonly b: string;
}

/** Which of two views applied a newer state, and all facts on which they differ. */
export interface Comparison {
  readonly newer: 'a' | 'b' | 'same';
  readonly differences: readonly Difference[];
}

const missingFact = 'nothing';
/** Facts of one node alone, such as the number of its hints, are not compared. */
const localFactPrefix = 'own ';

const versionText = ({ term, version }: StateVersion): string =>
  term < 0 ? missingFact : `term ${term} version ${version}`;

/** The facts of a view by name. */
const factsOf = (view: NodeViewReply): ReadonlyMap<string, string> =>
  new Map([
    ['term', String(view.term)],
    ['master', view.master || 'none'],
    ['applied', versionText(view.applied)],
    ...view.facts.filter(([name]) => !name.startsWith(localFactPrefix)),
  ]);

const newerOf = (a: StateVersion, b: StateVersion): Comparison['newer'] => {
  if (isNewerVersion(a, b)) return 'a';
  return isNewerVersion(b, a) ? 'b' : 'same';
};

/** Compares two views; the differences of the cluster state come sorted by name, after those of term and master. */
export const compareViews = (a: NodeViewReply, b: NodeViewReply): Comparison => {
  const factsA = factsOf(a);
  const factsB = factsOf(b);
  const headNames = ['term', 'master', 'applied'];
  const otherNames = [...new Set([...factsA.keys(), ...factsB.keys()])]
    .filter((name) => !headNames.includes(name))
    .sort();
  const differences = [...headNames, ...otherNames]
    .map((fact) => ({
      fact,
      a: factsA.get(fact) ?? missingFact,
      b: factsB.get(fact) ?? missingFact,
    }))
    .filter((row) => row.a !== row.b);
  return { newer: newerOf(a.applied, b.applied), differences };
};
