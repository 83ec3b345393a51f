import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { hostClock, delay, readBody, sendJson } from '@tillerstair/wire';
import { FaultyServer } from './faults.js';
import { attemptOf, type Ledger } from './ledger.js';

export interface ServiceSpec {
  readonly id: string;
  readonly pool: string;
  readonly addr: string;
  readonly leastMs: number;
  readonly mostMs: number;
}

const Act = z.object({ id: z.string(), path: z.string(), body: z.string() });

export class ServiceServer extends FaultyServer {
  constructor(
    readonly spec: ServiceSpec,
    private readonly ledger: Ledger,
  ) {
    super(spec.addr, '/v1/act');
  }

  protected async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const act = Act.parse(JSON.parse(await readBody(req, 1 << 20)));
    const key = req.headers['idempotency-key'];
    this.busy++;
    const nth = ++this.served;
    const began = Date.now();
    try {
      const span = this.spec.mostMs - this.spec.leastMs;
      await delay(hostClock, this.spec.leastMs + (((nth * 7919) % 100) / 100) * span);
      this.ledger.add({
        kind: 'act',
        server: this.spec.id,
        pool: this.spec.pool,
        id: act.id,
        key: typeof key === 'string' ? key : '',
        attempt: attemptOf(req),
        program: '',
        began,
        at: Date.now(),
        tokens: 0,
        cached: 0,
        prompt: 0,
        said: act.path,
        reply: '',
        complete: true,
      });
      if (this.loses(this.faults.loseEnd, nth)) {
        res.destroy();
        return;
      }
      sendJson(res, 200, {
        id: act.id,
        result: { did: act.path, key: key ?? null, by: this.spec.id, n: nth },
      });
    } finally {
      this.busy--;
    }
  }
}
