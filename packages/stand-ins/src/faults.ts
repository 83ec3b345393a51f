import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { z } from 'zod';
import { readBody, sendJson, serveHttp } from '@tillerstair/wire';

export const Faults = z.object({
  draining: z.boolean().optional(),
  cutAfter: z.number().optional(),
  loseEnd: z.number().optional(),
  slow: z.number().optional(),
});
export type Faults = z.infer<typeof Faults>;

export abstract class FaultyServer {
  protected faults: Faults = {};
  protected busy = 0;
  protected served = 0;
  private http: Server | undefined;

  protected constructor(
    private readonly addr: string,
    private readonly path: string,
  ) {}

  protected abstract serve(req: IncomingMessage, res: ServerResponse): Promise<void>;

  set(f: Faults): void {
    this.faults = { ...this.faults, ...f };
  }

  protected loses(every: number | undefined, nth: number): boolean {
    return every !== undefined && every > 0 && nth % every === 0;
  }

  async start(): Promise<void> {
    this.http = await serveHttp(this.addr, async (req, res, url) => {
      if (url.pathname === '/load')
        return sendJson(res, 200, { busy: this.busy, draining: this.faults.draining ?? false });
      if (url.pathname === '/faults') {
        this.set(Faults.parse(JSON.parse(await readBody(req, 4096))));
        return sendJson(res, 200, this.faults);
      }
      if (url.pathname !== this.path) return sendJson(res, 404, { executed: 'no' });
      await this.serve(req, res);
    });
  }

  async stop(): Promise<void> {
    this.http?.closeAllConnections();
    await new Promise<void>((done) => (this.http ? this.http.close(() => done()) : done()));
  }
}
