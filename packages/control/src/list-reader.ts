/**
 * Reads the server list of the deployment, at most once per interval and with one reading in flight at a time, however
 * many callers ask. Keeps the newest reading of this control.
 */
import type { ListedServer, ServerListReply, ServerListReport } from '@tillerstair/state';
import {
  isProgrammingError,
  delay,
  RequestTimeoutError,
  toRpcError,
  withTimeout,
  type Clock,
  type Logger,
} from '@tillerstair/wire';
import type { ZenBounds } from '@tillerstair/zen';

export type { ListedServer } from '@tillerstair/state';

/** A list of servers that the deployment maintains outside the cluster. */
export interface ServerList {
  /** Reads the whole list. Rejects if it cannot be read; a result that takes longer than `withinMs` is ignored. */
  read(withinMs: number): Promise<readonly ListedServer[]>;
}

/**
 * Start times of the last attempt to read the list and of the last one that succeeded, in ms of the clock; -Infinity
 * for never.
 */
export interface ReadingTimes {
  readonly triedAt: number;
  readonly readAt: number;
}

/** The servers of the last successful reading, with the times of the readings. */
export interface ListReading extends ReadingTimes {
  readonly servers: readonly ListedServer[];
}

/** Times of a list that was never read. */
export const neverRead: ReadingTimes = { triedAt: -Infinity, readAt: -Infinity };

const ageOf = (at: number, now: number): number | null => (at === -Infinity ? null : now - at);

/** Ages of a reading at the time `now`, in ms; null for never. */
export const ageReport = ({ triedAt, readAt }: ReadingTimes, now: number): ServerListReport => ({
  age: ageOf(triedAt, now),
  readAge: ageOf(readAt, now),
});

/** A reply waits for the reading in flight for at most the read interval divided by this. */
const replyWaitDivisor = 4;

/** Reads the server list for one control. */
export class ListReader {
  /** The result of the last attempt that has ended, with the servers of the last successful one. */
  private newest: ListReading = { ...neverRead, servers: [] };
  private inFlight: Promise<ListReading> | undefined;
  /** Start time, in ms of the clock, of the last attempt, including one in flight; -Infinity before the first. */
  private lastStartedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly list: ServerList,
    private readonly bounds: Pick<ZenBounds, 'listReadInterval'>,
    private readonly log: Logger,
  ) {}

  /** Minimum interval between two readings, in ms. */
  get intervalMs(): number {
    return this.bounds.listReadInterval;
  }

  /** The reading in flight, the newest one if it is younger than the interval, or else a new one. Never rejects. */
  async read(): Promise<ListReading> {
    if (this.inFlight) return this.inFlight;
    if (this.clock.now() - this.newest.triedAt < this.intervalMs) return this.newest;
    this.inFlight = this.attempt().finally(() => {
      this.inFlight = undefined;
    });
    return this.inFlight;
  }

  /**
   * Replies to a node that requests the list. If the reading in flight is slow, the reply has the servers of the last
   * successful reading, and the age of the attempt in flight.
   */
  async reply(): Promise<ServerListReply> {
    const fallback = delay(this.clock, this.intervalMs / replyWaitDivisor).then(() => ({
      ...this.newest,
      triedAt: this.lastStartedAt,
    }));
    const reading = await Promise.race([this.read(), fallback]);
    const idsWhere = (draining: boolean): readonly string[] =>
      reading.servers.filter((server) => server.draining === draining).map(({ id }) => id);
    return {
      reported: ageReport(reading, this.clock.now()),
      open: idsWhere(false),
      draining: idsWhere(true),
    };
  }

  private async attempt(): Promise<ListReading> {
    const triedAt = this.clock.now();
    this.lastStartedAt = triedAt;
    try {
      const servers = await withTimeout(
        this.clock,
        this.intervalMs,
        this.list.read(this.intervalMs),
        () => new RequestTimeoutError('the server list'),
      );
      this.newest = { triedAt, readAt: triedAt, servers };
    } catch (error) {
      this.logFailure(error);
      this.newest = { ...this.newest, triedAt };
    }
    return this.newest;
  }

  private logFailure(error: unknown): void {
    if (isProgrammingError(error))
      this.log.error(`Internal error while reading the server list: ${error.message}.`);
    else this.log.warn(`The server list cannot be read: ${toRpcError(error).message}.`);
  }
}
