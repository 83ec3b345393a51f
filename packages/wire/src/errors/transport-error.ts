/** Errors of the connection to another process, which say what is known of a request that was under way. */
import { RpcError, type ExecutionStatus, type RpcErrorCodeOf } from './rpc-error.js';

/** A request had no response because of its connection, its time limit or its caller. */
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

/** No connection could be opened: nothing of the request left this process. */
export class ConnectionRefusedError extends TransportError {
  override readonly name = 'ConnectionRefusedError';

  constructor(to: string) {
    super('connection-refused', `no connection to ${to}`, 'no');
  }
}

/** The connection ended while a request was under way: it may have been executed. */
export class ConnectionLostError extends TransportError {
  override readonly name = 'ConnectionLostError';

  constructor(to: string) {
    super('connection-lost', `connection to ${to} was lost`, 'unknown');
  }
}

/** No response came in time: the request may have been executed. */
export class RequestTimeoutError extends TransportError {
  override readonly name = 'RequestTimeoutError';

  constructor(to: string) {
    super('request-timeout', `no response from ${to} in time`, 'unknown');
  }
}

/** Whoever made the request has gone; `executed` says whether it had been sent by then. */
export class RequestCancelledError extends TransportError {
  override readonly name = 'RequestCancelledError';

  constructor(executed: ExecutionStatus) {
    super('gone', 'the caller is gone', executed);
  }
}
