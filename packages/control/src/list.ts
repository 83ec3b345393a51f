import {
  applyServerList,
  type ListedServer,
  type ServerListReply,
  type ServerListReport,
} from '@tillerstair/state';
import {
  isProgrammingError,
  toRpcError,
  delay,
  RequestTimeoutError,
  withTimeout,
  type Clock,
  type Logger,
} from '@tillerstair/wire';
import type { MasterView, ZenBounds } from '@tillerstair/zen';

export type { ListedServer } from '@tillerstair/state';

export interface ServerList {
  read(within: number): Promise<readonly ListedServer[]>;
}

export interface Reading {
  readonly triedAt: number;
  readonly readAt: number;
  readonly servers: readonly ListedServer[];
}

const ageOf = (at: number, now: number): number | null => (at === -Infinity ? null : now - at);

const reportOf = (r: Omit<Reading, 'servers'>, now: number): ServerListReport => ({
  age: ageOf(r.triedAt, now),
  readAge: ageOf(r.readAt, now),
});

export class ListReader {
  private last: Reading = { triedAt: -Infinity, readAt: -Infinity, servers: [] };
  private going: Promise<Reading> | undefined;
  private askedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly list: ServerList,
    private readonly bounds: Pick<ZenBounds, 'listEvery'>,
    private readonly log: Logger,
  ) {}

  /** The pause between two readings, in ms. */
  get every(): number {
    return this.bounds.listEvery;
  }

  async read(): Promise<Reading> {
    if (this.going) return this.going;
    if (this.clock.now() - this.last.triedAt < this.every) return this.last;
    this.going = this.attempt().finally(() => {
      this.going = undefined;
    });
    return this.going;
  }

  private async attempt(): Promise<Reading> {
    const triedAt = this.clock.now();
    this.askedAt = triedAt;
    try {
      const servers = await withTimeout(
        this.clock,
        this.every,
        this.list.read(this.every),
        () => new RequestTimeoutError('the server list'),
      );
      this.last = { triedAt, readAt: triedAt, servers };
    } catch (e) {
      if (isProgrammingError(e))
        this.log.error(`Internal error while reading the server list: ${e.message}.`);
      else this.log.warn(`The server list cannot be read: ${toRpcError(e).message}.`);
      this.last = { ...this.last, triedAt };
    }
    return this.last;
  }

  async reply(): Promise<ServerListReply> {
    const late = delay(this.clock, this.every / 4).then(() => ({
      ...this.last,
      triedAt: this.askedAt,
    }));
    const r = await Promise.race([this.read(), late]);
    const ids = (draining: boolean): readonly string[] =>
      r.servers.filter((v) => v.draining === draining).map((v) => v.id);
    return { reported: reportOf(r, this.clock.now()), open: ids(false), draining: ids(true) };
  }
}

export class ListPoll {
  private term = -1;
  private held: Omit<Reading, 'servers'> = { triedAt: -Infinity, readAt: -Infinity };

  constructor(
    private readonly clock: Clock,
    private readonly reader: ListReader,
  ) {}

  async run(master: MasterView): Promise<void> {
    const since = this.clock.now();
    this.term = master.term;
    this.held = { triedAt: -Infinity, readAt: -Infinity };
    while (!master.lost.aborted) {
      const r = await this.reader.read();
      if (r.triedAt >= since) await this.reduce(master, r).catch(() => undefined);
      const rest = r.triedAt + this.reader.every - this.clock.now();
      await delay(this.clock, Math.max(this.reader.every / 20, rest), master.lost);
    }
  }

  private async reduce(master: MasterView, r: Reading): Promise<void> {
    const read = r.readAt === r.triedAt;
    const s = master.committed;
    if (!s) return;
    if (read && applyServerList(s, r.servers) !== s)
      await master.submit((t) => applyServerList(t, r.servers));
    if (master.lost.aborted || this.term !== master.term) return;
    this.held = { triedAt: r.triedAt, readAt: read ? r.readAt : this.held.readAt };
  }

  reported(term: number | undefined): ServerListReport {
    return term === this.term
      ? reportOf(this.held, this.clock.now())
      : { age: null, readAge: null };
  }
}
