/** Operators of a fleet, over HTTP. */
import { Agent, request } from 'undici';
import { z } from 'zod';

/** A reply; status 0 where none came. */
export interface Reply {
  readonly status: number;
  readonly body: unknown;
}

const agent = new Agent({ connections: 16, connect: { timeout: 1000 } });

/** Sends a request; never throws. */
export const ask = async (
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  url: string,
  body = '',
  within = 15000,
): Promise<Reply> => {
  try {
    const res = await request(url, {
      method,
      dispatcher: agent,
      body: method === 'GET' ? null : body,
      signal: AbortSignal.timeout(within),
    });
    const text = await res.body.text();
    const parsed: unknown = text === '' ? null : JSON.parse(text);
    return { status: res.statusCode, body: parsed };
  } catch (e) {
    return { status: 0, body: { errorCode: e instanceof Error ? e.message : String(e) } };
  }
};

/** Closes the connections that `ask` uses. */
export const closeHttpConnections = (): Promise<void> => agent.destroy();

const ConfigBack = z.object({ version: z.number(), text: z.string(), digest: z.string() });

/** Sends operators' requests to the controls in turn. */
export class Operator {
  constructor(private readonly https: () => readonly string[]) {}

  async request(
    method: 'GET' | 'PUT' | 'POST' | 'DELETE',
    path: string,
    body = '',
  ): Promise<Reply> {
    let last: Reply = { status: 0, body: null };
    for (const http of this.https()) {
      last = await ask(method, `http://${http}${path}`, body);
      if (last.status !== 0 && last.status !== 503) return last;
    }
    return last;
  }

  async config(): Promise<z.infer<typeof ConfigBack> | undefined> {
    const got = await this.request('GET', '/v1/config');
    const parsed = ConfigBack.safeParse(got.body);
    return got.status === 200 && parsed.success ? parsed.data : undefined;
  }
}
