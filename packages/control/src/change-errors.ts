/** Why a change of the configuration is not accepted. */
import { OperationError } from '@tillerstair/wire';

/** A change builds on another version of the configuration than the one in force. */
export class WrongBaseError extends OperationError {
  override readonly name = 'WrongBaseError';

  constructor(readonly current: number) {
    super('wrong-base', `the configuration is at version ${current}`);
  }
}

/** A change is older than the record of accepted changes, so nobody can tell whether it was accepted. */
export class ForgottenChangeError extends OperationError {
  override readonly name = 'ForgottenChangeError';

  constructor(version: number) {
    super('forgotten', `version ${version} is older than the record of taken changes`, 'unknown');
  }
}
