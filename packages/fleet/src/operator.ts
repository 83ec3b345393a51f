/** HTTP requests to a fleet, and the operator that sends them to its controls. */
import { Agent, request } from 'undici';
import { z } from 'zod';

/** A reply with its JSON body; status 0 if the request failed, with the reason in the body's `errorCode`. */
export interface Reply {
  readonly status: number;
  readonly body: unknown;
}

const agent = new Agent({ connections: 16, connect: { timeout: 1000 } });

/** Sends a request and waits up to `within` ms for its JSON reply; never throws, a failure is status 0. */
export const ask = async (
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  url: string,
  body = '',
  within = 15000,
): Promise<Reply> => {
  try {
    const response = await request(url, {
      method,
      dispatcher: agent,
      body: method === 'GET' ? null : body,
      signal: AbortSignal.timeout(within),
    });
    const text = await response.body.text();
    const parsed: unknown = text === '' ? null : JSON.parse(text);
    return { status: response.statusCode, body: parsed };
  } catch (error) {
    return {
      status: 0,
      body: { errorCode: error instanceof Error ? error.message : String(error) },
    };
  }
};

/** Closes the pooled connections of `ask`. */
export const closeHttpConnections = (): Promise<void> => agent.destroy();

/** The reply to a read of the configuration. */
const ConfigReply = z.object({ version: z.number(), text: z.string(), digest: z.string() });

/** Sends an operator's requests to the controls, one after another, until one replies. */
export class Operator {
  /** `addresses` returns the HTTP addresses of the controls. */
  constructor(private readonly addresses: () => readonly string[]) {}

  /** Tries the controls in order; returns the first reply other than 503, or the last one. */
  async request(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body = '',
  ): Promise<Reply> {
    let last: Reply = { status: 0, body: null };
    for (const address of this.addresses()) {
      last = await ask(method, `http://${address}${path}`, body);
      if (last.status !== 0 && last.status !== 503) return last;
    }
    return last;
  }

  /** Reads the configuration in force; undefined if no control returns it. */
  async config(): Promise<z.infer<typeof ConfigReply> | undefined> {
    const reply = await this.request('GET', '/v1/config');
    const parsed = ConfigReply.safeParse(reply.body);
    return reply.status === 200 && parsed.success ? parsed.data : undefined;
  }
}
