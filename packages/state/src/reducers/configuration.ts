/** Reducer of the configuration, and of the record of accepted changes. */
import { recordAcceptedChange } from '../accepted-changes.js';
import type { ConfigAction } from '../action.js';
import type { State } from '../state.js';

/** Identifies a change of the configuration: the change id set by its sender, or else its digest. */
export const changeIdOf = (change: {
  readonly changeId?: string | undefined;
  readonly digest: string;
}): string => change.changeId || change.digest;

/** Replaces the configuration and records that its change was accepted. */
export const reduceConfig = (state: State, { record }: ConfigAction): State => ({
  ...state,
  config: record,
  acceptedChanges: recordAcceptedChange(state.acceptedChanges, record.version, changeIdOf(record)),
});
