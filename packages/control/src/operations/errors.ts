/**
 * Errors of operators' requests that the current state forbids. They are thrown while the master makes a change or
 * reads the state, and reach the operator once a majority has confirmed the master (`MasterView.submitConfirmed` and `confirm`).
 */
import { OperationError } from '@tillerstair/wire';
import type { OperatorResponse } from '../messages.js';
import { HttpStatus, refused, unclear } from './responses.js';

/** An error that provides the response to the operator. */
export abstract class OperatorRequestError extends OperationError {
  /** The response to the request that failed with this error. */
  abstract toResponse(): OperatorResponse;
}

/** The subject of the request does not exist. Nothing was changed. */
export class NotFoundError extends OperatorRequestError {
  override readonly name = 'NotFoundError';

  constructor(message: string) {
    super('missing', message);
  }

  toResponse(): OperatorResponse {
    return refused(HttpStatus.notFound, this.code, this.message);
  }
}

/** The current state forbids the request. Nothing was changed. */
export class ConflictError extends OperatorRequestError {
  override readonly name = 'ConflictError';

  constructor(message: string) {
    super('refused', message);
  }

  toResponse(): OperatorResponse {
    return refused(HttpStatus.conflict, this.code, this.message);
  }
}

/** A configuration builds on a version other than the current one. Nothing was changed. */
export class WrongBaseError extends OperatorRequestError {
  override readonly name = 'WrongBaseError';

  constructor(readonly currentVersion: number) {
    super('wrong-base', `the configuration is at version ${currentVersion}`);
  }

  toResponse(): OperatorResponse {
    return refused(HttpStatus.conflict, this.code, this.message, { current: this.currentVersion });
  }
}

/** A change is older than the record of accepted changes, so whether it was accepted is unknown. */
export class ForgottenChangeError extends OperatorRequestError {
  override readonly name = 'ForgottenChangeError';

  constructor(version: number) {
    super(
      'forgotten',
      `version ${version} is older than the record of accepted changes`,
      'unknown',
    );
  }

  toResponse(): OperatorResponse {
    return unclear(this.message, 'GET /v1/config');
  }
}
