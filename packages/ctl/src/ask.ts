import { request } from 'undici';

export class CannotAsk extends Error {}

export interface Back {
  readonly status: number;
  readonly body: unknown;
}

export const askAt = async (
  http: string,
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  path: string,
  body: string,
  within: number,
): Promise<Back> => {
  const base = http.startsWith('http://') ? http : `http://${http}`;
  let sent = false;
  try {
    const res = await request(`${base}${path}`, {
      method,
      body: method === 'GET' ? null : body,
      signal: AbortSignal.timeout(within),
      headersTimeout: within,
      bodyTimeout: within,
    });
    sent = true;
    const text = await res.body.text();
    const parsed: unknown = text === '' ? null : JSON.parse(text);
    return { status: res.statusCode, body: parsed };
  } catch (e) {
    const code = e !== null && typeof e === 'object' && 'code' in e ? String(e.code) : '';
    if (code === 'ECONNREFUSED' || method === 'GET')
      throw new CannotAsk(`${http}: ${e instanceof Error ? e.message : String(e)}`);
    return {
      status: 504,
      body: {
        executed: 'unknown',
        errorCode: 'unknown',
        text: `${sent ? 'the reply broke off' : 'no reply'}: ${String(e)}`,
      },
    };
  }
};

export const askAny = async (
  https: readonly string[],
  method: 'GET' | 'PUT' | 'POST' | 'DELETE',
  path: string,
  body: string,
  within: number,
): Promise<Back> => {
  const why: string[] = [];
  let last: Back | undefined;
  for (const http of https) {
    try {
      last = await askAt(http, method, path, body, within);
      if (last.status !== 503) return last;
    } catch (e) {
      why.push(e instanceof Error ? e.message : String(e));
    }
  }
  if (last) return last;
  throw new CannotAsk(why.join('\n'));
};
