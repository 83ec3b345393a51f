export type Executed = 'no' | 'unknown' | 'yes';

export class RpcError extends Error {
  constructor(
    readonly code: string,
    message: string,
    readonly executed: Executed = 'no',
    readonly retryAfterMs = 1000,
  ) {
    super(message);
    this.name = 'RpcError';
  }
}

export class ConnectionRefusedError extends RpcError {
  constructor(to: string) {
    super('connection-refused', `no connection to ${to}`, 'no');
  }
}

export class ConnectionLostError extends RpcError {
  constructor(to: string) {
    super('connection-lost', `connection to ${to} was lost`, 'unknown');
  }
}

export class RequestTimeoutError extends RpcError {
  constructor(to: string) {
    super('request-timeout', `no outcome from ${to} in time`, 'unknown');
  }
}

/** Whether an error tells of a fault in this program rather than of trouble outside it. */
export const isProgrammingError = (e: unknown): e is TypeError | RangeError | ReferenceError =>
  e instanceof TypeError || e instanceof RangeError || e instanceof ReferenceError;

export const toRpcError = (e: unknown): RpcError =>
  e instanceof RpcError
    ? e
    : new RpcError('internal', e instanceof Error ? e.message : String(e), 'unknown');
