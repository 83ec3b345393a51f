/** The configuration in place, and the record of the changes that were accepted. */
import { recordAcceptedChange } from '../accepted-changes.js';
import type { ConfigAction } from '../action.js';
import type { State } from '../state.js';

/** What tells one change of the configuration from others: its sender's change id, or else its digest. */
export const changeIdOf = (change: {
  readonly changeId?: string | undefined;
  readonly digest: string;
}): string => change.changeId || change.digest;

/** Puts a configuration in place and records that its change was accepted. */
export const reduceConfig = (state: State, { record }: ConfigAction): State => ({
  ...state,
  config: record,
  acceptedChanges: recordAcceptedChange(state.acceptedChanges, record.version, changeIdOf(record)),
});
