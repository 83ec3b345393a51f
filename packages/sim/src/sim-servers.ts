/** The simulated servers: their faults, their load, and the records of what they executed. */
import type { ExecutionRecord } from '@tillerstair/checker';
import type { Backend } from '@tillerstair/session-owner';
import type { Server } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import { healthyServer, type ServerFaults } from './server-faults.js';
import { SimBackend } from './sim-backend.js';
import { SimKeyTable } from './sim-key-table.js';
import type { Incarnation } from './incarnation.js';

const recordedPromptLength = 60;
/** The pools whose servers record idempotency keys, in every configuration of tests and storms that has them. */
export const recordingPools = ['memo', 'ledger'] as const;

/** All servers of a world; each front reaches them through its own backend. */
export class SimServers {
  /** Executions, in the order in which they ended. */
  readonly executed: ExecutionRecord[] = [];
  /** Pairs `front>server` between which no connection can be made. */
  readonly cutFronts = new Set<string>();
  /** Number of requests that fronts began to send. */
  asked = 0;
  /** Number of health checks that fronts sent. */
  healthChecks = 0;
  private readonly faults = new Map<string, ServerFaults>();
  private readonly busy = new Map<string, number>();
  private readonly keyTables: ReadonlyMap<string, SimKeyTable> = new Map(
    recordingPools.map((pool) => [pool, new SimKeyTable()]),
  );
  private served = 0;

  constructor(
    readonly clock: Clock,
    readonly rng: () => number,
  ) {}

  /** Ends every fault of a server; a draining server stays draining. */
  heal(id: string): void {
    this.set(id, { ...healthyServer, draining: this.faultsOf(id).draining });
  }

  /** Sets the given faults of a server; its other faults stay as they are. */
  set(id: string, faults: Partial<ServerFaults>): void {
    this.faults.set(id, { ...this.faultsOf(id), ...faults });
  }

  /** The current faults of a server. */
  faultsOf(id: string): ServerFaults {
    return this.faults.get(id) ?? healthyServer;
  }

  /** Whether a front can connect to a server. */
  accepts(front: string, server: Server): boolean {
    return !this.faultsOf(server.id).refuses && !this.cutFronts.has(`${front}>${server.id}`);
  }

  /** The record of keys that the servers of a pool share; undefined for a pool that records none. */
  keyTable(pool: string): SimKeyTable | undefined {
    return this.keyTables.get(pool);
  }

  /** Registers a request and returns its number, which counts the requests of all servers. */
  beginRequest(): number {
    return ++this.served;
  }

  /** Changes the number of requests in flight at a server. */
  addBusy(server: Server, by: number): void {
    this.busy.set(server.id, this.busyOf(server) + by);
  }

  /** The number of requests in flight at a server. */
  busyOf(server: Server): number {
    return this.busy.get(server.id) ?? 0;
  }

  /** Records an execution that ends now. */
  record(server: Server, executed: Omit<ExecutionRecord, 'server' | 'pool' | 'at'>): void {
    this.executed.push({
      ...executed,
      server: server.id,
      pool: server.pool,
      at: this.clock.now(),
      said: executed.kind === 'pass' ? executed.said : executed.said.slice(-recordedPromptLength),
    });
  }

  /** The backend through which one incarnation of a proxy reaches the servers; `front` is its address. */
  backend(incarnation: Incarnation, front = ''): Backend {
    return new SimBackend(this, incarnation, front);
  }
}
