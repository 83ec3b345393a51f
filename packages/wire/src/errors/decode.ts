/** Converts errors from outside into `RpcError`s: those of the node-to-node protocol and those that a library threw. */
import { z } from 'zod';
import { AdmissionError } from './admission-error.js';
import { ElectionError } from './election-error.js';
import { FeedError } from './feed-error.js';
import { OperationError } from './operation-error.js';
import { OwnershipError } from './ownership-error.js';
import { ProtocolError } from './protocol-error.js';
import { ReplicaError } from './replica-error.js';
import { UnavailableError } from './unavailable-error.js';
import {
  rpcErrorCodes,
  RpcError,
  type ExecutionStatus,
  type RpcErrorCode,
  type RpcErrorCodeOf,
  type RpcErrorFamily,
} from './rpc-error.js';
import { TransportError } from './transport-error.js';

/** Schema of an error code in a message; a code that this version does not know is parsed as `internal`. */
export const RpcErrorCodeOnWire = z.enum(Object.values(rpcErrorCodes).flat()).catch('internal');

const isCodeOf = <Family extends RpcErrorFamily>(
  family: Family,
  code: RpcErrorCode,
): code is RpcErrorCodeOf<Family> => {
  const codes: readonly string[] = rpcErrorCodes[family];
  return codes.includes(code);
};

/** Creates the error class of the code's family from the fields of an error message. */
export const rpcErrorOf = (
  code: RpcErrorCode,
  message: string,
  executed: ExecutionStatus,
): RpcError => {
  if (isCodeOf('transport', code)) return new TransportError(code, message, executed);
  if (isCodeOf('protocol', code)) return new ProtocolError(code, message, executed);
  if (isCodeOf('election', code)) return new ElectionError(code, message, executed);
  if (isCodeOf('ownership', code)) return new OwnershipError(code, message, executed);
  if (isCodeOf('replica', code)) return new ReplicaError(code, message, executed);
  if (isCodeOf('availability', code)) return new UnavailableError(code, message, executed);
  if (isCodeOf('feed', code)) return new FeedError(code, message, executed);
  if (isCodeOf('admission', code)) return new AdmissionError(code, message, executed);
  return new OperationError(code, message, executed);
};

/** Whether an error is a bug in this program rather than a failure outside it. */
export const isProgrammingError = (
  error: unknown,
): error is TypeError | RangeError | ReferenceError =>
  error instanceof TypeError || error instanceof RangeError || error instanceof ReferenceError;

/** Returns a thrown `RpcError` as it is; any other value becomes an `internal` error with `executed: unknown`. */
export const toRpcError = (error: unknown): RpcError =>
  error instanceof RpcError
    ? error
    : new ProtocolError(
        'internal',
        error instanceof Error ? error.message : String(error),
        'unknown',
      );
