/** Helpers for tests of the names in the outer interfaces: raw headers, JSON bodies and their keys. */
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { ask, type ReceivedResponse } from './http-server.js';

/** Value of the first header with this lower-case name in a raw header list; '' if there is none. */
export const headerOf = (rawHeaders: readonly string[], name: string): string => {
  for (let i = 0; i + 1 < rawHeaders.length; i += 2)
    if (rawHeaders[i]?.toLowerCase() === name) return rawHeaders[i + 1] ?? '';
  return '';
};

const JsonObject = z.record(z.string(), z.unknown());

/** The fields of a JSON object. */
export const fieldsOf = (value: unknown): ReadonlyMap<string, unknown> =>
  new Map(Object.entries(JsonObject.parse(value)));

/** Parses the body of a response as JSON. */
export const jsonOf = (response: ReceivedResponse): unknown => JSON.parse(response.body.toString());

/** Asserts the keys of a JSON object in any order. */
export const assertKeys = (value: unknown, keys: readonly string[], message = ''): void =>
  assert.equal([...fieldsOf(value).keys()].sort(), [...keys].sort(), message);

/**
 * Asserts an error response of a front: status, `executed`, `errorCode`, and no other keys than `text` and `moreKeys`.
 */
export const assertRefused = (
  response: ReceivedResponse,
  status: number,
  errorCode: string,
  executed = 'no',
  moreKeys: readonly string[] = [],
): void => {
  assert.is(response.status, status, response.body.toString());
  assert.is(headerOf(response.headers, 'content-type'), 'application/json');
  const fields = fieldsOf(jsonOf(response));
  assert.is(fields.get('errorCode'), errorCode);
  assert.is(fields.get('executed'), executed);
  assert.equal([...fields.keys()].sort(), ['errorCode', 'executed', 'text', ...moreKeys].sort());
};

/** Sends a request with a text body to a port of this machine. */
export const call = (
  port: number,
  method: string,
  path: string,
  headers: readonly string[] = [],
  body = '',
): Promise<ReceivedResponse> => ask(port, path, headers, Buffer.from(body), method);
