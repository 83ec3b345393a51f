/** A service that executes calls after a pause, with faults; it keeps no operation keys of its own. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { hostClock, delay, readBody, sendJson } from '@tillerstair/wire';
import { attemptOf, type ExecutionLog } from './execution-log.js';
import { FaultyServer } from './faulty-server.js';

/** How a service is set up. */
export interface ServiceServerOptions {
  readonly id: string;
  readonly pool: string;
  /** IP:PORT to listen at. */
  readonly addr: string;
  /** The shortest time that a call takes, in ms. */
  readonly leastMs: number;
  /** The longest time that a call takes, in ms. */
  readonly mostMs: number;
}

const ActRequest = z.object({ id: z.string(), path: z.string(), body: z.string() });

const maxRequestBytes = 1 << 20;
/** Spreads the durations of successive calls over the whole range. */
const durationStride = 7919;
const durationSteps = 100;

/** A service on a port of its own. */
export class ServiceServer extends FaultyServer {
  constructor(
    readonly options: ServiceServerOptions,
    private readonly log: ExecutionLog,
  ) {
    super(options.addr, '/v1/act');
  }

  protected async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const request = ActRequest.parse(JSON.parse(await readBody(incoming, maxRequestBytes)));
    const keyHeader = incoming.headers['idempotency-key'];
    const key = typeof keyHeader === 'string' ? keyHeader : undefined;
    this.busy++;
    const number = ++this.requestCount;
    const began = Date.now();
    try {
      await delay(hostClock, this.durationOf(number));
      this.log.add({
        kind: 'act',
        server: this.options.id,
        pool: this.options.pool,
        id: request.id,
        key: key ?? '',
        attempt: attemptOf(incoming),
        program: '',
        began,
        at: Date.now(),
        tokens: 0,
        cached: 0,
        prompt: 0,
        said: request.path,
        reply: '',
        complete: true,
      });
      if (this.faultApplies(this.faults.loseEnd, number)) {
        response.destroy();
        return;
      }
      sendJson(response, 200, {
        id: request.id,
        result: { did: request.path, key: key ?? null, by: this.options.id, n: number },
      });
    } finally {
      this.busy--;
    }
  }

  private durationOf(requestNumber: number): number {
    const { leastMs, mostMs } = this.options;
    const step = (requestNumber * durationStride) % durationSteps;
    return leastMs + (step / durationSteps) * (mostMs - leastMs);
  }
}
