/** The record of idempotency keys that the simulated servers of one pool share. */
import type { ResponseHead } from '@tillerstair/session-owner';

/** The answer of a finished run, as repeats of its key get it. */
export interface RecordedAnswer {
  readonly head: ResponseHead;
  /** One character per byte. */
  readonly reply: string;
}

/** What a pool knows of a key: that a request with it is running, or the answer of a finished one. */
export type KeyRecord =
  { readonly state: 'running' } | ({ readonly state: 'done' } & RecordedAnswer);

/** The keys that the servers of one pool run or have run. */
export class SimKeyTable {
  private readonly records = new Map<string, KeyRecord>();

  /** The record of a key; undefined if no server of the pool runs it or has run it whole. */
  get(key: string): KeyRecord | undefined {
    return this.records.get(key);
  }

  /** Records that a server begins to run a request with the key. */
  begin(key: string): void {
    this.records.set(key, { state: 'running' });
  }

  /** Records the end of the run; without an answer the run broke off, and the key may run again. */
  end(key: string, answer: RecordedAnswer | undefined): void {
    if (answer) this.records.set(key, { state: 'done', ...answer });
    else this.records.delete(key);
  }
}
