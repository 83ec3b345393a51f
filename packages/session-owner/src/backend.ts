/**
 * The interface by which the session owner sends requests to servers, with their outcomes. The proxy implements it over
 * HTTP, the simulation in memory. It keeps no state.
 */
import type { Server } from '@tillerstair/state';

/** A message of a conversation, as it is sent to a model server. */
export interface ConversationMessage {
  readonly role: 'user' | 'assistant';
  readonly text: string;
}

/**
 * The result of sending a request to a server. `never-left`: nothing was sent, since the server could not be reached.
 * `declined`: it was certainly not executed, either because the server said so or because the owner stopped it right
 * before the first byte; `keyInProgress` is set if the server said that it is running a request with the same
 * idempotency key. `lost`: it is not known whether it was executed; `abandoned` is
 * set if the owner stopped reading the response, which says nothing about the server. `done`: the server's complete response has
 * arrived; `code` is its HTTP status.
 */
export type BackendOutcome =
  | { readonly kind: 'never-left'; readonly text: string }
  | { readonly kind: 'declined'; readonly text: string; readonly keyInProgress?: true | undefined }
  | { readonly kind: 'lost'; readonly text: string; readonly abandoned?: true | undefined }
  | { readonly kind: 'done'; readonly code: number; readonly body: unknown };

/** Whether an outcome shows that its server works; a lost one that the owner abandoned does not count against it. */
export const saysServerIsHealthy = (outcome: BackendOutcome): boolean =>
  outcome.kind === 'done' ||
  outcome.kind === 'declined' ||
  (outcome.kind === 'lost' && outcome.abandoned === true);

/** The load that a server reports with a response: running and waiting requests, and how many can run at once. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly places: number;
}

/** Name and value of an HTTP header. */
export type Header = readonly [name: string, value: string];

/** HTTP status and headers of a server's response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly Header[];
  /**
   * Set if the response has neither a content length nor chunked encoding, so that it ends with its connection. Whether
   * it is complete cannot be known then; it is forwarded with the same framing.
   */
  readonly untilClose?: true | undefined;
}

/** A request as the caller sent it; `resume` is the id of the last event that the caller received, empty if none. */
export interface ForwardedRequest {
  readonly attempt: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly Header[];
  readonly body: Uint8Array;
  readonly resume: string;
}

/** Receives a server's response; in `bytes`, each character of the text is one byte (latin1). */
export interface ResponseSink {
  head(head: ResponseHead): void;
  bytes(text: string): void;
  load(load: ReportedLoad): void;
}

/** A turn for a model server; `id` is unique for each attempt, `maxTokens` limits the generated tokens. */
export interface GenerateRequest {
  readonly id: string;
  readonly messages: readonly ConversationMessage[];
  readonly maxTokens: number;
  readonly requestId: string;
}

/** A tool call; `id` is unique for each attempt, `key` is its idempotency key, empty if it has none. */
export interface ToolCallRequest {
  readonly id: string;
  readonly key: string;
  readonly path: string;
  readonly body: string;
  readonly requestId: string;
}

/** A server's response to a poll: the number of requests that it runs or queues, and whether it is draining. */
export interface ServerStatus {
  readonly busy: number;
  readonly draining: boolean;
}

/**
 * Sends requests to servers. A request is abandoned when `signal` aborts or after `timeoutMs`. `mayStillRun` is called
 * right before the first byte is sent; if it returns false, nothing is sent and the outcome is `declined`. Requests
 * resolve with an outcome and never reject.
 */
export interface Backend {
  /** Runs a turn; `onChunk` receives its chunks, numbered from 0 without gaps. */
  generate(
    server: Server,
    request: GenerateRequest,
    onChunk: (index: number, text: string) => void,
    signal: AbortSignal,
    timeoutMs: number,
    mayStillRun: () => boolean,
  ): Promise<BackendOutcome>;
  /** Runs a tool call. */
  act(
    server: Server,
    request: ToolCallRequest,
    signal: AbortSignal,
    timeoutMs: number,
    mayStillRun: () => boolean,
  ): Promise<BackendOutcome>;
  /** Forwards a request unchanged. The outcome is `done` only once the server's response is complete. */
  pass(
    server: Server,
    request: ForwardedRequest,
    sink: ResponseSink,
    signal: AbortSignal,
    timeoutMs: number,
    mayStillRun: () => boolean,
  ): Promise<BackendOutcome>;
  /** Polls a server; rejects when it does not respond within `timeoutMs`. */
  load(server: Server, timeoutMs: number): Promise<ServerStatus>;
}
