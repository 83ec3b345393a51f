/** Whether a change of the configuration was accepted before, so that one that is sent again is acknowledged again. */
import { acceptedChangeOutcome, type State } from '@tillerstair/state';
import { ForgottenChangeError, WrongBaseError } from './errors.js';

/** What tells a change apart: the version it builds on, the version that it makes, and its sender's change id. */
export interface ChangeIdentity {
  readonly base: number;
  readonly version: number;
  readonly changeId: string;
}

/**
 * Whether a change was accepted already; if not, it builds on the version in place and can be made.
 * Throws `WrongBaseError` where it can no longer be made, `ForgottenChangeError` where the record is younger than it.
 */
export const wasAccepted = (state: State, change: ChangeIdentity): boolean => {
  const outcome = acceptedChangeOutcome(state.acceptedChanges, change.version, change.changeId);
  if (outcome === 'accepted') return true;
  if (outcome === 'forgotten') throw new ForgottenChangeError(change.version);
  const currentVersion = state.config?.version ?? 0;
  if (change.base !== currentVersion) throw new WrongBaseError(currentVersion);
  return false;
};
