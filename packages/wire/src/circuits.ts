export interface Inquiry {
  readonly from: string;
  readonly kind: string;
  readonly body: unknown;
}

export type Emit = (piece: unknown) => void;
export type Handler = (inquiry: Inquiry, emit: Emit, gone: AbortSignal) => Promise<unknown>;

export interface CallBounds {
  readonly within: number;
  readonly onPiece?: Emit;
  readonly gone?: AbortSignal;
}

export interface Circuits {
  readonly self: string;
  call(to: string, kind: string, body: unknown, bounds: CallBounds): Promise<unknown>;
  serve(handler: Handler): Promise<void>;
  onLost(heard: (to: string) => void): void;
  close(): Promise<void>;
}
