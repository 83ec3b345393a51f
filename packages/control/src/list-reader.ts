/**
 * Reads the list of servers of the deployment, as rarely as its bound allows and with one reading at a time, whoever
 * asks. Owns the newest reading of this control.
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

/** A list of servers that the deployment keeps elsewhere. */
export interface ServerList {
  /** Reads all of it. Rejects when it cannot be read; an answer after `withinMs` comes too late. */
  read(withinMs: number): Promise<readonly ListedServer[]>;
}

/** When the list was last asked for and when the newest answer was asked for, in ms of the clock; -Infinity for never. */
export interface ReadingTimes {
  readonly triedAt: number;
  readonly readAt: number;
}

/** The newest answer of the list, and its times. */
export interface ListReading extends ReadingTimes {
  readonly servers: readonly ListedServer[];
}

/** The times of a list that was never asked. */
export const neverRead: ReadingTimes = { triedAt: -Infinity, readAt: -Infinity };

const ageOf = (at: number, now: number): number | null => (at === -Infinity ? null : now - at);

/** The ages of a reading, in ms; null for never. */
export const ageReport = ({ triedAt, readAt }: ReadingTimes, now: number): ServerListReport => ({
  age: ageOf(triedAt, now),
  readAge: ageOf(readAt, now),
});

/** The part of the pause between readings after which a reply no longer waits for the reading under way. */
const replyDivisor = 4;

/** Reads the list for one control. */
export class ListReader {
  private newest: ListReading = { ...neverRead, servers: [] };
  private inFlight: Promise<ListReading> | undefined;
  private attemptedAt = -Infinity;

  constructor(
    private readonly clock: Clock,
    private readonly list: ServerList,
    private readonly bounds: Pick<ZenBounds, 'listReadInterval'>,
    private readonly log: Logger,
  ) {}

  /** The pause between two readings, in ms. */
  get intervalMs(): number {
    return this.bounds.listReadInterval;
  }

  /** The newest reading: one under way, one that is not older than the interval, or a new one. Never rejects. */
  async read(): Promise<ListReading> {
    if (this.inFlight) return this.inFlight;
    if (this.clock.now() - this.newest.triedAt < this.intervalMs) return this.newest;
    this.inFlight = this.attempt().finally(() => {
      this.inFlight = undefined;
    });
    return this.inFlight;
  }

  /** What a node that asks is told; when the list is slow, the last answer with the age of the attempt. */
  async reply(): Promise<ServerListReply> {
    const late = delay(this.clock, this.intervalMs / replyDivisor).then(() => ({
      ...this.newest,
      triedAt: this.attemptedAt,
    }));
    const reading = await Promise.race([this.read(), late]);
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
    this.attemptedAt = triedAt;
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
