/** Helpers for the tests that hold the names of the outer interfaces: raw headers, JSON bodies and their keys. */
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { ask, type ReceivedResponse } from './http-server.js';

/** The value of the first header of that name (in lower case) in a raw list; '' if there is none. */
export const headerOf = (raw: readonly string[], name: string): string => {
  for (let i = 0; i + 1 < raw.length; i += 2)
    if (raw[i]?.toLowerCase() === name) return raw[i + 1] ?? '';
  return '';
};

const JsonObject = z.record(z.string(), z.unknown());

/** The fields of a JSON object. */
export const fieldsOf = (value: unknown): ReadonlyMap<string, unknown> =>
  new Map(Object.entries(JsonObject.parse(value)));

/** The JSON of an answer's body. */
export const jsonOf = (heard: ReceivedResponse): unknown => JSON.parse(heard.body.toString());

/** Asserts the keys of a JSON object, whatever their order. */
export const assertKeys = (value: unknown, keys: readonly string[], what = ''): void =>
  assert.equal([...fieldsOf(value).keys()].sort(), [...keys].sort(), what);

/** Asserts a refusal of a front: status, `executed`, `errorCode`, and no keys beside these and `text`. */
export const assertRefused = (
  heard: ReceivedResponse,
  status: number,
  errorCode: string,
  executed = 'no',
  moreKeys: readonly string[] = [],
): void => {
  assert.is(heard.status, status, heard.body.toString());
  assert.is(headerOf(heard.headers, 'content-type'), 'application/json');
  const fields = fieldsOf(jsonOf(heard));
  assert.is(fields.get('errorCode'), errorCode);
  assert.is(fields.get('executed'), executed);
  assert.equal([...fields.keys()].sort(), ['errorCode', 'executed', 'text', ...moreKeys].sort());
};

/** Sends text or nothing to a port of this machine. */
export const call = (
  port: number,
  method: string,
  path: string,
  headers: readonly string[] = [],
  body = '',
): Promise<ReceivedResponse> => ask(port, path, headers, Buffer.from(body), method);
