export interface RpcRequest {
  readonly from: string;
  readonly kind: string;
  readonly body: unknown;
}

export type EmitChunk = (chunk: unknown) => void;
export type RequestHandler = (
  request: RpcRequest,
  emit: EmitChunk,
  gone: AbortSignal,
) => Promise<unknown>;

export interface CallOptions {
  readonly timeoutMs: number;
  readonly onChunk?: EmitChunk;
  readonly signal?: AbortSignal;
}

export interface Transport {
  readonly self: string;
  call(to: string, kind: string, body: unknown, bounds: CallOptions): Promise<unknown>;
  serve(handler: RequestHandler): Promise<void>;
  onConnectionLost(heard: (to: string) => void): void;
  close(): Promise<void>;
}
