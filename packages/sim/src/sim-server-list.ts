/** The simulated list of servers that controls and fronts read; changes become visible after a lag. */
import type { ListedServer, ServerList } from '@tillerstair/control';
import { delay, type Clock } from '@tillerstair/wire';
import type { Incarnation } from './incarnation.js';

/** A read of the list, successful or not: its time and the address of the reader. */
export interface ListRead {
  readonly at: number;
  readonly by: string;
}

interface ListVersion {
  readonly at: number;
  readonly servers: ReadonlyMap<string, ListedServer>;
}

const defaultReadMs = 10;

/** The server list of one world. */
export class SimServerList {
  readonly reads: ListRead[] = [];
  /** Addresses of readers that cannot reach the list. */
  readonly cut = new Set<string>();
  /** While set, reads fail after half their duration. */
  failing = false;
  /** While set, reads fail only at their time-out. */
  hanging = false;
  /** Duration of a read, in ms. */
  readMs = defaultReadMs;
  private versions: readonly ListVersion[] = [{ at: -Infinity, servers: new Map() }];

  /** Changes become visible `lag` ms after they are made. */
  constructor(
    private readonly clock: Clock,
    readonly lag = 0,
  ) {}

  /** Adds or replaces a server; returns the time at which the change becomes visible. */
  put(server: Partial<ListedServer> & Pick<ListedServer, 'id' | 'pool'>): number {
    return this.change((servers) =>
      servers.set(server.id, {
        url: 'http://127.0.0.1:1',
        zone: 'zone-0',
        places: 16,
        draining: false,
        ...server,
      }),
    );
  }

  /** Marks a server as draining; returns the time at which the change becomes visible. */
  markDraining(id: string): number {
    return this.change((servers) => {
      const server = servers.get(id);
      if (server) servers.set(id, { ...server, draining: true });
    });
  }

  /** Removes a server; returns the time at which the change becomes visible. */
  drop(id: string): number {
    return this.change((servers) => servers.delete(id));
  }

  /** Addresses of the readers that read the list at or after `from` and before `to`. */
  readers(from: number, to = Infinity): ReadonlySet<string> {
    const reads = this.reads.filter(({ at }) => at >= from && at < to);
    return new Set(reads.map(({ by }) => by));
  }

  /** The list, as one process reads it; its reads are recorded under the address `by`. */
  reader(by: string, incarnation: Incarnation): ServerList {
    const clock = incarnation.clock(this.clock);
    return {
      read: async (timeoutMs) => {
        this.reads.push({ at: this.clock.now(), by });
        await delay(clock, this.hanging ? timeoutMs : this.readMs / 2);
        if (this.failing || this.hanging || this.cut.has(by))
          throw new Error(`${by} cannot read the server list`);
        const servers = this.visibleServers();
        await delay(clock, this.readMs / 2);
        return servers;
      },
    };
  }

  private change(edit: (servers: Map<string, ListedServer>) => void): number {
    const servers = new Map(this.versions.at(-1)?.servers);
    edit(servers);
    const at = this.clock.now() + this.lag;
    this.versions = [...this.versions, { at, servers }];
    return at;
  }

  private visibleServers(): readonly ListedServer[] {
    const now = this.clock.now();
    return [...(this.versions.findLast(({ at }) => at <= now)?.servers.values() ?? [])];
  }
}
