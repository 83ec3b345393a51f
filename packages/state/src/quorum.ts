/** Majorities of voting controls; during a change of voters, of both groups (joint consensus). */
import type { VotingConfiguration } from './state.js';

/** Whether more than half of a group agrees; an empty group has no majority. */
export const isMajority = (group: readonly string[], agreeing: ReadonlySet<string>): boolean =>
  group.filter((id) => agreeing.has(id)).length * 2 > group.length;

/** Whether `agreeing` contains a majority of the current voters and of the next voters. */
export const hasQuorum = (
  { current, next }: VotingConfiguration,
  agreeing: ReadonlySet<string>,
): boolean => isMajority(current, agreeing) && isMajority(next, agreeing);
