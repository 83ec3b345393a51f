/** The names of the headers of pass routes: the product's own, and a place for those of a platform. */

/** Names of headers of pass routes, in lower case; '' where there is none. */
export interface Dialect {
  /** The id of a caller's attempt; servers echo it. */
  readonly attempt: string;
  /** How long the caller will wait, in ms. */
  readonly remainingTime: string;
  /** The key of an operation: all attempts with it are one. */
  readonly key: string;
  /** The tenant whose programs and keys are meant. */
  readonly tenant: string;
  /** The program that a turn belongs to. */
  readonly program: string;
  /** Tokens that a program may be given in all. */
  readonly budget: string;
  /** Tokens of the prompt and the most put out, separated by a comma. */
  readonly tokens: string;
  /** Parts of the prompt in order, NAME:TOKENS, separated by commas. */
  readonly parts: string;
  /** The attempt of the turn that a turn follows. */
  readonly after: string;
  /** The last event that the caller has of a stream. */
  readonly resume: string;
  /** The server that is meant; another answers 421. */
  readonly expect: string;
  /** A server's promise that it did not run a request. */
  readonly declined: string;
  /** A server's running, waiting and places, separated by commas. */
  readonly load: string;
  /** Stands on every answer that a server made; '' if servers do not mark theirs. */
  readonly madeByServer: string;
}

/** The names of the product's own interface (`docs/callers.md`). */
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
