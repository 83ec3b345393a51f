/** What model servers and services have in common: the load page, and faults that are set while they run. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { z } from 'zod';
import { readBody, sendJson, serveHttp } from '@tillerstair/wire';

/** Faults of a server; those that are left out stay as they are. */
export const Faults = z.object({
  /** Reports itself as draining on its load page. */
  draining: z.boolean().optional(),
  /** Breaks off every n-th reply after a few chunks; 0 for none. */
  cutAfter: z.number().optional(),
  /** Breaks off every n-th reply just before its end; 0 for none. */
  loseEnd: z.number().optional(),
  /** How many times slower than usual. */
  slow: z.number().optional(),
});
/** See the schema. */
export type Faults = z.infer<typeof Faults>;

const maxFaultsBytes = 4096;

/** An HTTP server with a load page, a page that sets faults, and one page of work that subclasses serve. */
export abstract class FaultyServer {
  protected faults: Faults = {};
  /** Requests under way. */
  protected busy = 0;
  /** Requests so far. */
  protected requestCount = 0;
  private http: Server | undefined;

  protected constructor(
    private readonly address: string,
    private readonly workPath: string,
  ) {}

  /** Serves one request of work; it counts itself in `busy` and `served`. */
  protected abstract serve(request: IncomingMessage, response: ServerResponse): Promise<void>;

  /** Sets the faults that are named, from the next request on. */
  set(faults: Faults): void {
    this.faults = { ...this.faults, ...faults };
  }

  /** Whether a fault that strikes every `every`-th request strikes this one. */
  protected faultApplies(every: number | undefined, requestNumber: number): boolean {
    return every !== undefined && every > 0 && requestNumber % every === 0;
  }

  /** Resolves once the server listens. */
  async start(): Promise<void> {
    this.http = await serveHttp(this.address, async (request, response, url) => {
      switch (url.pathname) {
        case '/load': {
          sendJson(response, 200, {
            busy: this.busy,
            draining: this.faults.draining ?? false,
          });
          return;
        }
        case '/faults':
          this.set(Faults.parse(JSON.parse(await readBody(request, maxFaultsBytes))));
          {
            sendJson(response, 200, this.faults);
            return;
          }
        case this.workPath:
          return this.serve(request, response);
        default: {
          sendJson(response, 404, { executed: 'no' });
          return;
        }
      }
    });
  }

  /** Closes all connections, also those with work under way, and resolves once the port is free. */
  async stop(): Promise<void> {
    const { http } = this;
    if (!http) return;
    http.closeAllConnections();
    await new Promise<void>((done) => {
      http.close(() => done());
    });
  }
}
