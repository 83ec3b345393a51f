/** Compares the cluster state as two nodes see it. */
import { isNewerVersion, type StateVersion } from '@tillerstair/state';
import type { NodeViewReply } from './messages.js';

/** A fact on which two views differ, with its value in each; `nothing` if a view lacks it. */
interface Difference {
  readonly fact: string;
  readonly a: string;
  readonly b: string;
}

/** The view with the newer applied state, and all facts on which the two views differ. */
export interface Comparison {
  readonly newer: 'a' | 'b' | 'same';
  readonly differences: readonly Difference[];
}

const missingFact = 'nothing';
/** Facts about a node itself, such as the number of its hints, have this prefix and are not compared. */
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

/** Compares two views. Differences in term, master and applied state come first; the others are sorted by name. */
export const compareViews = (a: NodeViewReply, b: NodeViewReply): Comparison => {
  const factsA = factsOf(a);
  const factsB = factsOf(b);
  const leadingNames = ['term', 'master', 'applied'];
  const otherNames = [...new Set([...factsA.keys(), ...factsB.keys()])]
    .filter((name) => !leadingNames.includes(name))
    .sort();
  const differences = [...leadingNames, ...otherNames]
    .map((fact) => ({
      fact,
      a: factsA.get(fact) ?? missingFact,
      b: factsB.get(fact) ?? missingFact,
    }))
    .filter((difference) => difference.a !== difference.b);
  return { newer: newerOf(a.applied, b.applied), differences };
};
