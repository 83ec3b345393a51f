/** Errors of the connection to another process; each states whether the request in flight can have been executed. */
import { RpcError, type ExecutionStatus, type RpcErrorCodeOf } from './rpc-error.js';

/** A request got no response: its connection failed, it timed out, or its caller cancelled it. */
export class TransportError extends RpcError {
  override readonly name: string = 'TransportError';

  constructor(
    override readonly code: RpcErrorCodeOf<'transport'>,
    message: string,
    executed: ExecutionStatus,
  ) {
    super(code, message, executed);
  }
}

/** No connection could be opened, so no part of the request was sent. */
export class ConnectionRefusedError extends TransportError {
  override readonly name = 'ConnectionRefusedError';

  constructor(to: string) {
    super('connection-refused', `cannot connect to ${to}`, 'no');
  }
}

/** The connection closed while the request was in flight; the request may have been executed. */
export class ConnectionLostError extends TransportError {
  override readonly name = 'ConnectionLostError';

  constructor(to: string) {
    super('connection-lost', `lost the connection to ${to} during the request`, 'unknown');
  }
}

/** No response arrived before the timeout; the request may have been executed. */
export class RequestTimeoutError extends TransportError {
  override readonly name = 'RequestTimeoutError';

  constructor(to: string) {
    super('request-timeout', `request to ${to} timed out`, 'unknown');
  }
}

/** The caller cancelled the request. `executed` is `no` if the request had not been sent by then, else `unknown`. */
export class RequestCancelledError extends TransportError {
  override readonly name = 'RequestCancelledError';

  constructor(executed: ExecutionStatus) {
    super('gone', 'the caller cancelled the request', executed);
  }
}
