import {
  defaultRetryAfterMs,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCodeOf,
} from './rpc-error.js';

/**
 * No server could be assigned: a full queue, a wait that would last too long, no route or no usable server.
 */
export class AdmissionError extends RpcError {
  override readonly name: string = 'AdmissionError';

  constructor(
    override readonly code: RpcErrorCodeOf<'admission'>,
    message: string,
    executed: ExecutionStatus = 'no',
    retryAfterMs = defaultRetryAfterMs,
  ) {
    super(code, message, executed, retryAfterMs);
  }
}
