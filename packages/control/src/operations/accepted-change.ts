/** Detects configuration changes that were accepted before, so that a resent change is acknowledged again. */
import { acceptedChangeOutcome, type State } from '@tillerstair/state';
import { ForgottenChangeError, WrongBaseError } from './errors.js';

/**
 * Identifies a change: the version that it builds on, the version that it creates, and the change id set by its sender.
 */
export interface ChangeIdentity {
  readonly base: number;
  readonly version: number;
  readonly changeId: string;
}

/**
 * Whether a change was already accepted; if not, it builds on the current version and can be made. Throws
 * `WrongBaseError` if it builds on another version, `ForgottenChangeError` if it is older than the record of accepted
 * changes.
 */
export const wasAccepted = (state: State, change: ChangeIdentity): boolean => {
  const outcome = acceptedChangeOutcome(state.acceptedChanges, change.version, change.changeId);
  if (outcome === 'accepted') return true;
  if (outcome === 'forgotten') throw new ForgottenChangeError(change.version);
  const currentVersion = state.config?.version ?? 0;
  if (change.base !== currentVersion) throw new WrongBaseError(currentVersion);
  return false;
};
