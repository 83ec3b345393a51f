/** Requests between processes, whatever carries them: TCP in the real programs, simulated links in tests. */

/** A request as its receiver sees it. */
export interface RpcRequest {
  /** The address of the process that sent it. */
  readonly from: string;
  /** What is asked for, such as `zen/publish`. */
  readonly kind: string;
  /** Unchecked: the handler of the kind parses it. */
  readonly body: unknown;
}

/** Takes one chunk of a response. */
export type EmitChunk = (chunk: unknown) => void;

/** Handles requests; a thrown error goes back as an `RpcError`. `gone` is aborted once nobody waits any more. */
export type RequestHandler = (
  request: RpcRequest,
  emit: EmitChunk,
  gone: AbortSignal,
) => Promise<unknown>;

/** How a request is made. */
export interface CallOptions {
  /** How long to wait for the response, in milliseconds, once the connection is open. */
  readonly timeoutMs: number;
  readonly onChunk?: EmitChunk;
  /** Aborted when the caller no longer waits; the other side is then told to stop its work. */
  readonly signal?: AbortSignal;
}

/** Sends requests to other processes and serves theirs. */
export interface Transport {
  /** The address that others reach this process at. */
  readonly self: string;
  /** Makes a request; throws a `TransportError` or the error that the handler threw. */
  call(to: string, kind: string, body: unknown, options: CallOptions): Promise<unknown>;
  /** Begins to serve requests; resolves once it listens. */
  serve(handler: RequestHandler): Promise<void>;
  /** Calls the listener whenever a connection to another process has ended or could not be opened. */
  onConnectionLost(listener: (to: string) => void): void;
  close(): Promise<void>;
}
