/** Errors of changes and reads at a master; their codes are sent over the wire (docs/errors.md). */
import {
  ElectionError,
  ProtocolError,
  UnavailableError,
  type ExecutionStatus,
} from '@tillerstair/wire';

/** This control is not the master, or no longer; with `executed: 'no'` the change may be sent to another control. */
export class NotMasterError extends ElectionError {
  override readonly name = 'NotMasterError';

  constructor(message = 'this control is no longer the master', executed: ExecutionStatus = 'no') {
    super('not-master', message, executed);
  }
}

/** No majority of the voters synced a published state to disk before the publish timeout. */
export class PublishTimeoutError extends ElectionError {
  override readonly name = 'PublishTimeoutError';

  constructor() {
    super(
      'no-majority',
      'no majority of the voters synced the published state before the publish timeout',
    );
  }
}

/** This control has voted in a later term and must not publish in its own term any more. */
export class StaleMasterError extends ElectionError {
  override readonly name = 'StaleMasterError';

  constructor(laterTerm: number) {
    super('stale', `this control has since voted in term ${laterTerm}`);
  }
}

/** No majority of the voters confirmed this master: a read or a refusal cannot be reported, and nothing was changed. */
export class QuorumUnavailableError extends UnavailableError {
  override readonly name = 'QuorumUnavailableError';

  constructor(message: string) {
    super('unavailable', message);
  }
}

/** It is unknown whether a change was made: the next master may or may not find it accepted by a majority. */
export class UnknownOutcomeError extends ProtocolError {
  override readonly name = 'UnknownOutcomeError';

  constructor(message: string) {
    super('unknown', message, 'unknown');
  }
}
