/** Input of the checker: records written by callers, servers and operators, as plain data. */
import type { ConfigCall } from './config-history.js';

/** A request to the program, turn, history or call interface and its outcome as seen by the caller; times are in ms. */
export interface ReplyRecord {
  readonly kind: 'program' | 'turn' | 'fetch' | 'call';
  readonly tenant: string;
  readonly program: string;
  /** Operation key of a call, or key of a turn; empty if the request had none. */
  readonly key: string;
  /** Request id; each retry has a new one. */
  readonly attempt: string;
  readonly turn: string;
  /** Id of the previous turn of the conversation; empty for the first turn. */
  readonly after: string;
  /** Time at which the request was sent, by the caller's clock. */
  readonly from: number;
  /** Time at which the reply or the failure was complete, by the caller's clock. */
  readonly to: number;
  readonly reported: 'done' | 'refused' | 'unknown' | 'partial';
  readonly errorCode: string;
  /** Numbers of the chunks of a streamed reply, in the order received. */
  readonly chunks: readonly number[];
  readonly text: string;
  readonly tokens: number;
  /** Content of the request: the prompt of a turn, the budget of a program, the body of a call. */
  readonly sent: string;
  /** Value of `Retry-After` in seconds; 0 if the reply had none. */
  readonly retryAfter: number;
}

/** A request on a pass route as seen by its caller; times are in ms, each character of `body` and `input` is a byte. */
export interface PassRecord {
  readonly manner: 'repeatable' | 'once' | 'keyed' | 'stream';
  readonly path: string;
  readonly resumable: boolean;
  readonly key: string;
  readonly attempt: string;
  readonly program: string;
  /** Token budget of the program that the request states; null if it states none. */
  readonly budget: number | null;
  /** Maximum number of tokens that this turn may generate. */
  readonly most: number;
  /** Attempt of the previous turn of the conversation; empty for the first turn. */
  readonly after: string;
  readonly input: string;
  readonly from: number;
  readonly to: number;
  readonly reported: 'done' | 'refused' | 'unknown' | 'partial';
  readonly status: number;
  readonly errorCode: string;
  readonly retryAfter: number;
  readonly body: string;
}

/** One execution from the log of the server that ran it; replies are checked against these. Times are in ms. */
export interface ExecutionRecord {
  readonly kind: 'generate' | 'act' | 'pass';
  readonly server: string;
  readonly pool: string;
  readonly key: string;
  readonly attempt: string;
  readonly program: string;
  readonly began: number;
  /** Time at which the execution ended. */
  readonly at: number;
  /** Input that the server received: the end of a prompt, the path of a call, the body of a pass. */
  readonly said: string;
  readonly reply: string;
  readonly complete: boolean;
  readonly tokens: number;
}

/** A configuration that an operator submitted, and the reported outcome. Times are in ms. */
export interface ConfigRecord {
  readonly version: number;
  readonly text: string;
  readonly turnPools: readonly string[];
  readonly callPools: readonly string[];
  readonly sentAt: number;
  readonly reported: 'done' | 'refused' | 'unknown';
  readonly reportedAt: number;
}

/** A period (ms), from `at` to `until`, during which a server was marked as draining. */
export interface DrainingRecord {
  readonly server: string;
  readonly at: number;
  readonly until: number;
}

/** A period (ms) during which work of one kind had to be split by shares, within `rounding` requests per pool. */
export interface SharesRecord {
  readonly kind: ExecutionRecord['kind'];
  readonly from: number;
  readonly to: number;
  /** Pairs of a pool and its share; the shares need not add up to 1. */
  readonly shares: readonly (readonly [string, number])[];
  readonly rounding: number;
}

/** A stop and restart of all machines, with the configuration version before and after it. Times are in ms. */
export interface RestartRecord {
  readonly stoppedAt: number;
  readonly startedAt: number;
  /** Time at which a request was first served again. */
  readonly servedAt: number;
  readonly configBefore: number;
  readonly configAfter: number;
}

/** All records of one run. */
export interface Records {
  readonly reported: readonly ReplyRecord[];
  readonly executed: readonly ExecutionRecord[];
  readonly passes: readonly PassRecord[];
  readonly configs: readonly ConfigRecord[];
  readonly configCalls: readonly ConfigCall[];
  readonly drainings: readonly DrainingRecord[];
  readonly shares: readonly SharesRecord[];
  readonly restarts: readonly RestartRecord[];
  /** The pools whose servers record idempotency keys; there, a run that broke off may be repeated. */
  readonly recordingPools: readonly string[];
  /**
   * Attempts on pass routes whose key a service may have in its record of keys, made when nothing was wrong any more
   * and the route led to every service that may have the key.
   */
  readonly finalAttempts: readonly string[];
  /** The configuration read back at the end of the run; undefined if none could be read. */
  readonly readBack: { readonly version: number; readonly text: string } | undefined;
  /** Maximum number of tokens that one turn may generate. */
  readonly perTurn: number;
}

/** Records of a run without any requests; callers spread it and override the fields they have. */
export const emptyRecords: Records = {
  reported: [],
  executed: [],
  passes: [],
  configs: [],
  configCalls: [],
  drainings: [],
  shares: [],
  restarts: [],
  recordingPools: [],
  finalAttempts: [],
  readBack: undefined,
  perTurn: 0,
};
