import type { Server } from '@tillerstair/state';

export interface Message {
  readonly role: 'user' | 'assistant';
  readonly text: string;
}

export type Ended =
  | { readonly kind: 'never-left'; readonly text: string }
  | { readonly kind: 'declined'; readonly text: string }
  | { readonly kind: 'lost'; readonly text: string }
  | { readonly kind: 'done'; readonly code: number; readonly body: unknown };

export interface Generate {
  readonly id: string;
  readonly messages: readonly Message[];
  readonly maxTokens: number;
  readonly inquiry: string;
}

export interface Act {
  readonly id: string;
  readonly key: string;
  readonly path: string;
  readonly body: string;
  readonly inquiry: string;
}

export interface BusyReport {
  readonly busy: number;
  readonly leaving: boolean;
}

export interface Backend {
  generate(server: Server, g: Generate, onPiece: (n: number, text: string) => void, gone: AbortSignal, within: number, still: () => boolean): Promise<Ended>;
  act(server: Server, a: Act, gone: AbortSignal, within: number, still: () => boolean): Promise<Ended>;
  busyness(server: Server, within: number): Promise<BusyReport>;
}
