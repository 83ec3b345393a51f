import type { ListedServer, ServerList } from '@tillerstair/control';
import { delay, type Clock } from '@tillerstair/wire';
import type { Life } from './sim-clock.js';

export interface ListRead {
  readonly at: number;
  readonly by: string;
}

interface Shown {
  readonly at: number;
  readonly servers: ReadonlyMap<string, ListedServer>;
}

export class SimList {
  readonly reads: ListRead[] = [];
  readonly cut = new Set<string>();
  failing = false;
  hanging = false;
  took = 10;
  private past: readonly Shown[] = [{ at: -Infinity, servers: new Map() }];

  constructor(
    private readonly clock: Clock,
    readonly lag = 0,
  ) {}

  private change(f: (servers: Map<string, ListedServer>) => void): number {
    const servers = new Map(this.past.at(-1)?.servers);
    f(servers);
    const at = this.clock.now() + this.lag;
    this.past = [...this.past, { at, servers }];
    return at;
  }

  put(v: Partial<ListedServer> & Pick<ListedServer, 'id' | 'pool'>): number {
    return this.change((servers) =>
      servers.set(v.id, {
        url: 'http://127.0.0.1:1',
        zone: 'zone-0',
        places: 16,
        draining: false,
        ...v,
      }),
    );
  }

  mark(id: string): number {
    return this.change((servers) => {
      const old = servers.get(id);
      if (old) servers.set(id, { ...old, draining: true });
    });
  }

  drop(id: string): number {
    return this.change((servers) => servers.delete(id));
  }

  private shown(): readonly ListedServer[] {
    const now = this.clock.now();
    return [...(this.past.findLast((s) => s.at <= now)?.servers.values() ?? [])];
  }

  readers(from: number, to = Infinity): ReadonlySet<string> {
    return new Set(this.reads.filter((r) => r.at >= from && r.at < to).map((r) => r.by));
  }

  reader(by: string, life: Life): ServerList {
    const clock = life.clock(this.clock);
    return {
      read: async (within) => {
        this.reads.push({ at: this.clock.now(), by });
        await delay(clock, this.hanging ? within : this.took / 2);
        if (this.failing || this.hanging || this.cut.has(by))
          throw new Error('the list cannot be read');
        const servers = this.shown();
        await delay(clock, this.took / 2);
        return servers;
      },
    };
  }
}
