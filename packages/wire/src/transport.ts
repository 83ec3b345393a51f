/** The interface for requests between processes: TCP in the deployed programs, simulated links in tests. */

/** An incoming request. */
export interface RpcRequest {
  /** The address of the process that sent it. */
  readonly from: string;
  /** The type of the request, such as `zen/publish`. */
  readonly kind: string;
  /** Not validated yet: the handler of the kind parses it. */
  readonly body: unknown;
}

/** Called with each chunk of a streamed response. */
export type EmitChunk = (chunk: unknown) => void;

/**
 * Handles a request and resolves with its response; an error that it throws is sent back as an `RpcError`. `signal` is
 * aborted when the caller cancels the request or its connection closes.
 */
export type RequestHandler = (
  request: RpcRequest,
  emit: EmitChunk,
  signal: AbortSignal,
) => Promise<unknown>;

/** Options of one request. */
export interface CallOptions {
  /** Timeout of the response, in milliseconds, from when the connection is open. */
  readonly timeoutMs: number;
  /** Called with each chunk, in order, before the request resolves. */
  readonly onChunk?: EmitChunk;
  /** Cancels the request when aborted, and aborts the signal of its handler on the other side. */
  readonly signal?: AbortSignal;
}

/** Sends requests to other processes and serves theirs. */
export interface Transport {
  /** The address at which other processes reach this one. */
  readonly self: string;
  /** Sends a request and returns its response; throws a `TransportError` or the error that the handler threw. */
  call(to: string, kind: string, body: unknown, options: CallOptions): Promise<unknown>;
  /** Starts serving requests; resolves once the transport listens. */
  serve(handler: RequestHandler): Promise<void>;
  /** Calls the listener with the address of a process whenever the connection to it closed or could not be opened. */
  onConnectionLost(listener: (to: string) => void): void;
  /** Closes all connections and stops listening. */
  close(): Promise<void>;
}
