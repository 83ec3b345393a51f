/** Errors with which a master ends changes and reads; their codes go over the wire, see docs/errors.md. */
import {
  ElectionError,
  ProtocolError,
  UnavailableError,
  type ExecutionStatus,
} from '@tillerstair/wire';

/** This control is not master, or not any more; with `executed: 'no'` the change may be sent to another control. */
export class NotMasterError extends ElectionError {
  override readonly name = 'NotMasterError';

  constructor(message = 'this control is no longer master', executed: ExecutionStatus = 'no') {
    super('not-master', message, executed);
  }
}

/** No majority of the voters has synced a published state in time. */
export class PublishTimeoutError extends ElectionError {
  override readonly name = 'PublishTimeoutError';

  constructor() {
    super('no-majority', 'no majority synced the state in time');
  }
}

/** This control has voted in a later term, so that it may publish nothing more in its earlier one. */
export class StaleMasterError extends ElectionError {
  override readonly name = 'StaleMasterError';

  constructor(laterTerm: number) {
    super('stale', `term ${laterTerm} was voted for meanwhile`);
  }
}

/** No majority of the voters confirms this master: a read or a refusal cannot be answered, and nothing was done. */
export class QuorumUnavailableError extends UnavailableError {
  override readonly name = 'QuorumUnavailableError';

  constructor(message: string) {
    super('unavailable', message);
  }
}

/** Whether a change was made is not known: the next master may or may not find it at a majority. */
export class UnknownOutcomeError extends ProtocolError {
  override readonly name = 'UnknownOutcomeError';

  constructor(message: string) {
    super('unknown', message, 'unknown');
  }
}
