import type { ConfigCall } from './config-history.js';

export interface ReplyRecord {
  readonly kind: 'program' | 'turn' | 'fetch' | 'call';
  readonly tenant: string;
  readonly program: string;
  readonly key: string;
  readonly attempt: string;
  readonly turn: string;
  readonly after: string;
  readonly from: number;
  readonly to: number;
  readonly reported: 'done' | 'refused' | 'unknown' | 'partial';
  readonly errorCode: string;
  readonly chunks: readonly number[];
  readonly text: string;
  readonly tokens: number;
  readonly sent: string;
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

export interface ExecutionRecord {
  readonly kind: 'generate' | 'act' | 'pass';
  readonly server: string;
  readonly pool: string;
  readonly key: string;
  readonly attempt: string;
  readonly program: string;
  readonly began: number;
  readonly at: number;
  readonly said: string;
  readonly reply: string;
  readonly complete: boolean;
  readonly tokens: number;
}

export interface ConfigRecord {
  readonly version: number;
  readonly text: string;
  readonly turnPools: readonly string[];
  readonly callPools: readonly string[];
  readonly sentAt: number;
  readonly reported: 'done' | 'refused' | 'unknown';
  readonly reportedAt: number;
}

export interface DrainingRecord {
  readonly server: string;
  readonly at: number;
  readonly until: number;
}

export interface SharesRecord {
  readonly kind: ExecutionRecord['kind'];
  readonly from: number;
  readonly to: number;
  readonly shares: readonly (readonly [string, number])[];
  readonly rounding: number;
}

export interface RestartRecord {
  readonly stoppedAt: number;
  readonly startedAt: number;
  readonly servedAt: number;
  readonly configBefore: number;
  readonly configAfter: number;
}

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
  readonly perTurn: number;
}

export const noRecords: Records = {
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
