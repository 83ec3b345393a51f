/** The simulated servers: their faults, their load, and the record of all that they executed. */
import type { ExecutionRecord } from '@tillerstair/checker';
import type { Backend } from '@tillerstair/session-owner';
import type { Server } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import { healthyServer, type ServerFaults } from './server-faults.js';
import { SimBackend } from './sim-backend.js';
import type { Incarnation } from './incarnation.js';

const recordedPromptLength = 60;

/** All servers of a world; fronts reach them through a backend of their own. */
export class SimServers {
  /** What was executed, in the order in which it ended. */
  readonly executed: ExecutionRecord[] = [];
  /** Pairs `front>server` between which no connection is made. */
  readonly cutFronts = new Set<string>();
  /** Requests that fronts began to send. */
  asked = 0;
  /** Health checks that fronts sent. */
  healthChecks = 0;
  private readonly faults = new Map<string, ServerFaults>();
  private readonly busy = new Map<string, number>();
  private served = 0;

  constructor(
    readonly clock: Clock,
    readonly rng: () => number,
  ) {}

  /** Ends every fault of a server, except that it may go on draining. */
  heal(id: string): void {
    this.set(id, { ...healthyServer, draining: this.faultsOf(id).draining });
  }

  /** Sets the faults that are named; the others stay. */
  set(id: string, faults: Partial<ServerFaults>): void {
    this.faults.set(id, { ...this.faultsOf(id), ...faults });
  }

  /** The faults of a server now. */
  faultsOf(id: string): ServerFaults {
    return this.faults.get(id) ?? healthyServer;
  }

  /** Whether a front can connect to a server. */
  accepts(front: string, server: Server): boolean {
    return !this.faultsOf(server.id).refuses && !this.cutFronts.has(`${front}>${server.id}`);
  }

  /** Begins a request and returns its number among those of all servers. */
  beginRequest(): number {
    return ++this.served;
  }

  /** Changes the number of requests under way at a server. */
  addBusy(server: Server, by: number): void {
    this.busy.set(server.id, this.busyOf(server) + by);
  }

  /** The number of requests under way at a server. */
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

  /** The servers as the proxy of one machine reaches them, for one incarnation of that proxy. */
  backend(incarnation: Incarnation, front = ''): Backend {
    return new SimBackend(this, incarnation, front);
  }
}
