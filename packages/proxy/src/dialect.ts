/** Header names on pass routes: the type, which platform adapters implement, and the product's own names. */

/** Header names on pass routes, in lower case; '' for a header that the dialect lacks. */
export interface Dialect {
  /** Id of the caller's attempt; servers echo it. */
  readonly attempt: string;
  /** Time that the caller will still wait, in ms. */
  readonly remainingTime: string;
  /** Idempotency key: all attempts with the same key are one operation. */
  readonly key: string;
  /** Tenant that scopes program ids and operation keys. */
  readonly tenant: string;
  /** Id of the program that a turn belongs to. */
  readonly program: string;
  /** Token budget of the program, in total. */
  readonly budget: string;
  /** Prompt tokens and maximum output tokens, separated by a comma. */
  readonly tokens: string;
  /** Parts of the prompt in order, each NAME:TOKENS, separated by commas. */
  readonly parts: string;
  /** Attempt id of the previous turn. */
  readonly after: string;
  /** Id of the last event of a stream that the caller received. */
  readonly resume: string;
  /** Id of the intended server; any other server answers 421. */
  readonly expect: string;
  /** Set by a server that guarantees that it did not run the request. */
  readonly declined: string;
  /** A server's running requests, waiting requests and capacity, separated by commas. */
  readonly load: string;
  /** Set on every response that a server generated itself; '' if servers do not set such a header. */
  readonly madeByServer: string;
}

/** Header names of the product's own interface (`docs/callers.md`). */
export const productDialect: Dialect = {
  attempt: 'x-request-id',
  remainingTime: 'x-time-left-ms',
  key: 'operation-key',
  tenant: 'x-tenant',
  program: 'x-program',
  budget: 'x-token-budget',
  tokens: 'x-tokens',
  parts: 'x-prompt-parts',
  after: 'x-after',
  resume: 'last-event-id',
  expect: 'x-expect-server',
  declined: 'x-not-run',
  load: 'x-load',
  madeByServer: '',
};
