/** HTTP client for the operators' interface of the controls. */
import { request } from 'undici';
import { messageOf, NotReachableError } from './errors.js';

/** HTTP methods of the operators' interface. */
export type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

/** A request to the operators' interface. */
export interface ControlRequest {
  readonly method: Method;
  readonly path: string;
  /** Ignored for `GET`; an empty body by default. */
  readonly body?: string;
}

/** The HTTP status and the parsed JSON body of a reply; `null` for an empty body. */
export interface ControlReply {
  readonly status: number;
  readonly body: unknown;
}

/** HTTP status of a change whose outcome is unknown; the controls use the same. */
export const outcomeUnknownStatus = 504;
const unavailableStatus = 503;

const isConnectionRefused = (error: unknown): boolean =>
  error !== null && typeof error === 'object' && 'code' in error && error.code === 'ECONNREFUSED';

/**
 * Sends a request to one control. Throws `NotReachableError` if it failed without any possible change. For a change
 * whose reply was lost it returns what a control would: 504 with `executed: "unknown"`.
 */
export const requestAt = async (
  address: string,
  { method, path, body = '' }: ControlRequest,
  timeoutMs: number,
): Promise<ControlReply> => {
  const base = address.startsWith('http://') ? address : `http://${address}`;
  let replied = false;
  try {
    const response = await request(`${base}${path}`, {
      method,
      body: method === 'GET' ? null : body,
      signal: AbortSignal.timeout(timeoutMs),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    replied = true;
    const text = await response.body.text();
    const parsed: unknown = text === '' ? null : JSON.parse(text);
    return { status: response.statusCode, body: parsed };
  } catch (error) {
    if (isConnectionRefused(error) || method === 'GET')
      throw new NotReachableError(`${address}: ${messageOf(error)}`);
    const text = `${replied ? 'the reply is incomplete' : 'no reply'}: ${String(error)}`;
    return {
      status: outcomeUnknownStatus,
      body: { executed: 'unknown', errorCode: 'unknown', text },
    };
  }
};

/**
 * Sends a request to the controls in turn until one replies with a status other than 503; returns the last 503 if there
 * is none. Throws `NotReachableError` if no control replied.
 */
export const requestAny = async (
  addresses: readonly string[],
  controlRequest: ControlRequest,
  timeoutMs: number,
): Promise<ControlReply> => {
  const errors: string[] = [];
  let unavailable: ControlReply | undefined;
  for (const address of addresses) {
    try {
      const reply = await requestAt(address, controlRequest, timeoutMs);
      if (reply.status !== unavailableStatus) return reply;
      unavailable = reply;
    } catch (error) {
      errors.push(messageOf(error));
    }
  }
  if (unavailable) return unavailable;
  throw new NotReachableError(errors.join('\n'));
};
