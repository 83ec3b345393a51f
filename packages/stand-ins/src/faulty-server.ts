/** Base of the model server and the service: a load endpoint, and fault injection at run time. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { z } from 'zod';
import { readBody, sendJson, serveHttp } from '@tillerstair/wire';

/** Faults to inject; a fault that is left out keeps its current value. */
export const Faults = z.object({
  /** Whether `/load` reports the server as draining. */
  draining: z.boolean().optional(),
  /** Cuts off every n-th reply after its first chunks; 0 disables the fault. */
  cutAfter: z.number().optional(),
  /** Closes the connection before the end of every n-th reply; 0 disables the fault. */
  loseEnd: z.number().optional(),
  /** Factor by which prefill and decoding take longer. */
  slow: z.number().optional(),
});
/** The faults to inject, as parsed from the body of a request to `/faults`. */
export type Faults = z.infer<typeof Faults>;

const maxFaultsBytes = 4096;

/** An HTTP server with `/load`, `/faults`, and one path of work that subclasses serve. */
export abstract class FaultyServer {
  protected faults: Faults = {};
  /** Number of work requests in flight. */
  protected busy = 0;
  /** Number of work requests accepted so far. */
  protected requestCount = 0;
  private http: Server | undefined;

  protected constructor(
    private readonly address: string,
    private readonly workPath: string,
  ) {}

  /** Serves one work request; implementations update `busy` and `requestCount`. */
  protected abstract serve(request: IncomingMessage, response: ServerResponse): Promise<void>;

  /** Sets the given faults; requests in flight may see them too. */
  set(faults: Faults): void {
    this.faults = { ...this.faults, ...faults };
  }

  /** Whether a fault of every `every`-th request applies to the one with this number; undefined or 0 disables it. */
  protected faultApplies(every: number | undefined, requestNumber: number): boolean {
    return every !== undefined && every > 0 && requestNumber % every === 0;
  }

  /** Starts the server; resolves once it listens. */
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

  /** Closes all connections, including those with requests in flight; resolves once the port is free. */
  async stop(): Promise<void> {
    const { http } = this;
    if (!http) return;
    http.closeAllConnections();
    await new Promise<void>((done) => {
      http.close(() => done());
    });
  }
}
