/** Requests to the HTTP interface of the controls. */
import { request } from 'undici';
import { messageOf, NotReachableError } from './errors.js';

/** Methods of the operators' interface. */
export type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

/** One request to the operators' interface. */
export interface ControlRequest {
  readonly method: Method;
  readonly path: string;
  /** Left out on `GET`. */
  readonly body?: string;
}

/** The status and the parsed body of a reply; `null` for an empty body. */
export interface ControlReply {
  readonly status: number;
  readonly body: unknown;
}

/** The status of a change whose outcome is not known, as the controls themselves give it. */
export const outcomeUnknownStatus = 504;
const unavailableStatus = 503;

const isConnectionRefused = (error: unknown): boolean =>
  error !== null && typeof error === 'object' && 'code' in error && error.code === 'ECONNREFUSED';

/**
 * Asks one control. Throws `NotReachableError` where nothing can have been changed; a change whose reply was lost is
 * answered as a control would: 504, `executed: "unknown"`.
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
    const text = `${replied ? 'the reply broke off' : 'no reply'}: ${String(error)}`;
    return {
      status: outcomeUnknownStatus,
      body: { executed: 'unknown', errorCode: 'unknown', text },
    };
  }
};

/**
 * Asks the controls one after another until one gives a reply other than 503; returns the last 503 if all do. Throws
 * `NotReachableError` if none can be reached.
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
