/**
 * Why the state in place forbids an operator's request. These are thrown while the master makes a change or reads the
 * state, and reach the operator once a majority has confirmed the master (`MasterView.submitConfirmed` and `confirm`).
 */
import { OperationError } from '@tillerstair/wire';
import type { OperatorResponse } from '../messages.js';
import { HttpStatus, refused, unclear } from './responses.js';

/** An error that says itself how the operator is answered. */
export abstract class OperatorRequestError extends OperationError {
  /** The answer to the operator whose request failed with this error. */
  abstract toResponse(): OperatorResponse;
}

/** What the request names does not exist. Nothing was altered. */
export class NotFoundError extends OperatorRequestError {
  override readonly name = 'NotFoundError';

  constructor(message: string) {
    super('missing', message);
  }

  toResponse(): OperatorResponse {
    return refused(HttpStatus.notFound, this.code, this.message);
  }
}

/** The state in place forbids the request. Nothing was altered. */
export class ConflictError extends OperatorRequestError {
  override readonly name = 'ConflictError';

  constructor(message: string) {
    super('refused', message);
  }

  toResponse(): OperatorResponse {
    return refused(HttpStatus.conflict, this.code, this.message);
  }
}

/** A configuration builds on another version than the one in place. Nothing was altered. */
export class WrongBaseError extends OperatorRequestError {
  override readonly name = 'WrongBaseError';

  constructor(readonly currentVersion: number) {
    super('wrong-base', `the configuration is at version ${currentVersion}`);
  }

  toResponse(): OperatorResponse {
    return refused(HttpStatus.conflict, this.code, this.message, { current: this.currentVersion });
  }
}

/** A change is older than the record of accepted changes; whether it was accepted is not known any more. */
export class ForgottenChangeError extends OperatorRequestError {
  override readonly name = 'ForgottenChangeError';

  constructor(version: number) {
    super('forgotten', `version ${version} is older than the record of taken changes`, 'unknown');
  }

  toResponse(): OperatorResponse {
    return unclear(this.message, 'GET /v1/config');
  }
}
