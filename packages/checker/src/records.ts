/** What the checker reads: records of callers, of servers and of operators, as plain data. */
import type { ConfigCall } from './config-history.js';

/** A reply of the turn, program, history or call interface as its caller knows it. Times are ms of the caller's clock. */
export interface ReplyRecord {
  readonly kind: 'program' | 'turn' | 'fetch' | 'call';
  readonly tenant: string;
  readonly program: string;
  readonly key: string;
  /** The request's id; a retry has another one. */
  readonly attempt: string;
  readonly turn: string;
  /** The turn before it in the conversation; empty at the first. */
  readonly after: string;
  readonly from: number;
  readonly to: number;
  readonly reported: 'done' | 'refused' | 'unknown' | 'partial';
  readonly errorCode: string;
  readonly chunks: readonly number[];
  readonly text: string;
  readonly tokens: number;
  /** What was sent: the prompt of a turn, the budget of a program, the body of a call. */
  readonly sent: string;
  /** In seconds; 0 where the reply gave none. */
  readonly retryAfter: number;
}

/** A request on a pass route as its caller knows it; `body` and `input` hold one byte a character. */
export interface PassRecord {
  readonly manner: 'repeatable' | 'once' | 'keyed' | 'stream';
  readonly path: string;
  readonly resumable: boolean;
  readonly key: string;
  readonly attempt: string;
  readonly program: string;
  readonly budget: number | null;
  /** The most tokens that this turn may make. */
  readonly most: number;
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

/** What a server really executed, by its own record; the truth that replies are checked against. Times are in ms. */
export interface ExecutionRecord {
  readonly kind: 'generate' | 'act' | 'pass';
  readonly server: string;
  readonly pool: string;
  readonly key: string;
  readonly attempt: string;
  readonly program: string;
  readonly began: number;
  readonly at: number;
  /** What the server was given: the end of a prompt, the path of a call, the body of a pass. */
  readonly said: string;
  readonly reply: string;
  readonly complete: boolean;
  readonly tokens: number;
}

/** A configuration that was submitted, and what its operator was answered. Times are in ms. */
export interface ConfigRecord {
  readonly version: number;
  readonly text: string;
  readonly turnPools: readonly string[];
  readonly callPools: readonly string[];
  readonly sentAt: number;
  readonly reported: 'done' | 'refused' | 'unknown';
  readonly reportedAt: number;
}

/** A server that was marked draining at a time (ms), and until when. */
export interface DrainingRecord {
  readonly server: string;
  readonly at: number;
  readonly until: number;
}

/** A span of time (ms) in which work of one kind had to be split by shares, to within `rounding` requests. */
export interface SharesRecord {
  readonly kind: ExecutionRecord['kind'];
  readonly from: number;
  readonly to: number;
  /** Pool and share. */
  readonly shares: readonly (readonly [string, number])[];
  readonly rounding: number;
}

/** A full stop and start of all machines, with the configuration version before and after. Times are in ms. */
export interface RestartRecord {
  readonly stoppedAt: number;
  readonly startedAt: number;
  readonly servedAt: number;
  readonly configBefore: number;
  readonly configAfter: number;
}

/** All that one run recorded. */
export interface Records {
  readonly reported: readonly ReplyRecord[];
  readonly executed: readonly ExecutionRecord[];
  readonly passes: readonly PassRecord[];
  readonly configs: readonly ConfigRecord[];
  readonly configCalls: readonly ConfigCall[];
  readonly drainings: readonly DrainingRecord[];
  readonly shares: readonly SharesRecord[];
  readonly restarts: readonly RestartRecord[];
  readonly readBack: { readonly version: number; readonly text: string } | undefined;
  /** The most tokens that one turn may make. */
  readonly perTurn: number;
}

/** The records of a run in which nothing happened; a base to add to. */
export const emptyRecords: Records = {
  reported: [],
  executed: [],
  passes: [],
  configs: [],
  configCalls: [],
  drainings: [],
  shares: [],
  restarts: [],
  readBack: undefined,
  perTurn: 0,
};
