import type { Server } from 'node:http';
import { z } from 'zod';
import { hostClock, pause, readBody, sendJson, serveHttp } from '@tillerstair/wire';
import type { Ledger } from './ledger.js';
import { Faults } from './model.js';

export interface ServiceSpec {
  readonly id: string;
  readonly pool: string;
  readonly addr: string;
  readonly leastMs: number;
  readonly mostMs: number;
}

const Act = z.object({ id: z.string(), path: z.string(), body: z.string() });

export class ServiceServer {
  private faults: Faults = {};
  private busy = 0;
  private served = 0;
  private http: Server | undefined;

  constructor(
    readonly spec: ServiceSpec,
    private readonly ledger: Ledger,
  ) {}

  set(f: Faults): void {
    this.faults = { ...this.faults, ...f };
  }

  async start(): Promise<void> {
    this.http = await serveHttp(this.spec.addr, async (req, res, url) => {
      if (url.pathname === '/load') return sendJson(res, 200, { busy: this.busy, leaving: this.faults.leaving ?? false });
      if (url.pathname === '/faults') {
        this.set(Faults.parse(JSON.parse(await readBody(req, 4096))));
        return sendJson(res, 200, this.faults);
      }
      if (url.pathname !== '/v1/act') return sendJson(res, 404, { ran: 'no' });
      const act = Act.parse(JSON.parse(await readBody(req, 1 << 20)));
      const key = req.headers['idempotency-key'];
      this.busy++;
      const nth = ++this.served;
      const began = Date.now();
      try {
        const span = this.spec.mostMs - this.spec.leastMs;
        await pause(hostClock, this.spec.leastMs + ((nth * 7919) % 100) / 100 * span);
        this.ledger.add({
          kind: 'act', server: this.spec.id, pool: this.spec.pool, id: act.id, key: typeof key === 'string' ? key : '', began, at: Date.now(), tokens: 0, cached: 0, prompt: 0,
          said: act.path, reply: '', complete: true,
        });
        if (this.faults.loseEnd && nth % this.faults.loseEnd === 0) {
          res.destroy();
          return;
        }
        sendJson(res, 200, { id: act.id, result: { did: act.path, key: key ?? null, by: this.spec.id, n: nth } });
      } finally {
        this.busy--;
      }
    });
  }

  async stop(): Promise<void> {
    this.http?.closeAllConnections();
    await new Promise<void>((done) => (this.http ? this.http.close(() => done()) : done()));
  }
}
