/** Names of the headers that pass routes are spoken with, in lower case; '' where there is none. */
export interface Dialect {
  /** Names a caller's try; servers echo it. */
  readonly attempt: string;
  /** What time the caller has left, in ms. */
  readonly timeLeft: string;
  readonly key: string;
  readonly tenant: string;
  readonly program: string;
  /** Tokens that a program may be given in all. */
  readonly budget: string;
  /** Tokens of the prompt and the most put out, separated by a comma. */
  readonly tokens: string;
  /** Parts of the prompt in order, NAME:TOKENS, separated by commas. */
  readonly parts: string;
  /** The try of the turn that a turn goes on from. */
  readonly after: string;
  /** The last event that the caller has of a stream. */
  readonly resume: string;
  /** Tells a server who it is meant to be; another answers 421. */
  readonly expect: string;
  /** A server's word that it did not run a request. */
  readonly declined: string;
  /** A server's running, waiting and places, separated by commas. */
  readonly load: string;
  /** Stands on every answer that a server made; '' if servers do not mark theirs. */
  readonly madeByServer: string;
}

export const ownDialect: Dialect = {
  attempt: 'x-request-id',
  timeLeft: 'x-time-left-ms',
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
