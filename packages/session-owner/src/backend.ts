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

export interface ServerLoad {
  readonly running: number;
  readonly waiting: number;
  readonly places: number;
}

export type Header = readonly [string, string];

export interface Head {
  readonly status: number;
  readonly headers: readonly Header[];
}

/** A request as the caller sent it; `resume` names the last event that the caller has. */
export interface Passing {
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly resume: string;
}

/** Where the bytes of a server's answer go, one byte a character (latin1). */
export interface Sink {
  head(head: Head): void;
  bytes(text: string): void;
  load(b: ServerLoad): void;
}

export interface Generate {
  readonly id: string;
  readonly messages: readonly Message[];
  readonly maxTokens: number;
  readonly requestId: string;
}

export interface Act {
  readonly id: string;
  readonly key: string;
  readonly path: string;
  readonly body: string;
  readonly requestId: string;
}

export interface LoadReport {
  readonly busy: number;
  readonly draining: boolean;
}

export interface Backend {
  generate(
    server: Server,
    g: Generate,
    onChunk: (n: number, text: string) => void,
    gone: AbortSignal,
    within: number,
    still: () => boolean,
  ): Promise<Ended>;
  act(
    server: Server,
    a: Act,
    gone: AbortSignal,
    within: number,
    still: () => boolean,
  ): Promise<Ended>;
  /** Sends a request unchanged; `left` is the caller's time in ms. The outcome is `done` only after the server's whole answer. */
  pass(
    server: Server,
    p: Passing,
    sink: Sink,
    gone: AbortSignal,
    left: number,
    still: () => boolean,
  ): Promise<Ended>;
  load(server: Server, within: number): Promise<LoadReport>;
}
