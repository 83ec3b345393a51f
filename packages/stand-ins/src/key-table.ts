/** The record of idempotency keys that the servers of one service share. */

/** What a service knows of a key: that a request with it is running, or the reply of a finished one. */
export type KeyEntry =
  { readonly state: 'running' } | { readonly state: 'done'; readonly reply: string };

/** The keys that the servers of one service run or have run. */
export class KeyTable {
  private readonly entries = new Map<string, KeyEntry>();

  /** The entry of a key; undefined if no server of the service runs it or has run it whole. */
  get(key: string): KeyEntry | undefined {
    return this.entries.get(key);
  }

  /** Records that a server begins to run a request with the key. */
  begin(key: string): void {
    this.entries.set(key, { state: 'running' });
  }

  /** Records the end of the run; one that broke off has no reply, and its key may run again. */
  end(key: string, reply: string | undefined): void {
    if (reply === undefined) this.entries.delete(key);
    else this.entries.set(key, { state: 'done', reply });
  }
}
