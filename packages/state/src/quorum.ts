/** Majorities of voting controls; while the voters change, of both groups (joint consensus). */
import type { VotingConfiguration } from './state.js';

/** Whether more than half of a group is among `agreeing`; no majority of an empty group exists. */
export const isMajority = (group: readonly string[], agreeing: ReadonlySet<string>): boolean =>
  group.filter((id) => agreeing.has(id)).length * 2 > group.length;

/** Whether `agreeing` holds a majority of the voters, and of the next voters. */
export const hasQuorum = (
  { current, next }: VotingConfiguration,
  agreeing: ReadonlySet<string>,
): boolean => isMajority(current, agreeing) && isMajority(next, agreeing);
