/** Stand-in service: executes calls after a delay, with fault injection; it does not deduplicate operation keys. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { hostClock, delay, readBody, sendJson } from '@tillerstair/wire';
import { attemptIdOf, type ExecutionLog } from './execution-log.js';
import { FaultyServer } from './faulty-server.js';

/** Options of a stand-in service. */
export interface ServiceServerOptions {
  readonly id: string;
  readonly pool: string;
  /** IP:PORT to listen on. */
  readonly addr: string;
  /** Minimum duration of a call, in ms. */
  readonly leastMs: number;
  /** Upper bound of the duration of a call, in ms. */
  readonly mostMs: number;
}

const ActRequest = z.object({ id: z.string(), path: z.string(), body: z.string() });

const maxRequestBytes = 1 << 20;
/** Coprime to `durationSteps`, so that the durations of successive calls spread over the whole range. */
const durationStride = 7919;
const durationSteps = 100;

/** A stand-in service that listens on its own port. */
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
    const requestNumber = ++this.requestCount;
    const began = Date.now();
    try {
      await delay(hostClock, this.durationOf(requestNumber));
      this.log.add({
        kind: 'act',
        server: this.options.id,
        pool: this.options.pool,
        id: request.id,
        key: key ?? '',
        attempt: attemptIdOf(incoming),
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
      if (this.faultApplies(this.faults.loseEnd, requestNumber)) {
        response.destroy();
        return;
      }
      sendJson(response, 200, {
        id: request.id,
        result: { did: request.path, key: key ?? null, by: this.options.id, n: requestNumber },
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
