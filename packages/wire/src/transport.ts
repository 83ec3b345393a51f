export interface RpcRequest {
  readonly from: string;
  readonly kind: string;
  readonly body: unknown;
}

export type Emit = (chunk: unknown) => void;
export type Handler = (request: RpcRequest, emit: Emit, gone: AbortSignal) => Promise<unknown>;

export interface CallBounds {
  readonly within: number;
  readonly onChunk?: Emit;
  readonly gone?: AbortSignal;
}

export interface Transport {
  readonly self: string;
  call(to: string, kind: string, body: unknown, bounds: CallBounds): Promise<unknown>;
  serve(handler: Handler): Promise<void>;
  onLost(heard: (to: string) => void): void;
  close(): Promise<void>;
}
