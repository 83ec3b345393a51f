/** Reads a client's request on a pass route into the message that is forwarded to the owner of its slot. */
import type { IncomingMessage } from 'node:http';
import { encodeBody, type Header, type PassRequest } from '@tillerstair/session-owner';
import { readBytes } from '@tillerstair/wire';
import type { Dialect } from './dialect.js';
import { endToEndHeaders, headerPairs } from './headers.js';

/** Upper limit of a request's timeout in ms, whatever its client asks for. */
const maxTimeoutMs = 3600000;
const defaultTenant = 'default';

/** Parses the parts of a prompt, NAME:TOKENS separated by commas; malformed parts are skipped. */
const parseParts = (text: string): [name: string, tokens: number][] =>
  text.split(',').flatMap((part): [string, number][] => {
    const colon = part.lastIndexOf(':');
    const tokens = Number(part.slice(colon + 1));
    return colon > 0 && tokens >= 0 ? [[part.slice(0, colon).trim(), tokens]] : [];
  });

const parseNumber = (text: string): number | null => {
  const value = Number(text);
  return text !== '' && Number.isFinite(value) && value >= 0 ? value : null;
};

/** The headers to forward, without those that the front sets itself. */
const forwardedHeaders = (req: IncomingMessage, dialect: Dialect): [string, string][] => {
  const setByFront: readonly string[] = [dialect.remainingTime, dialect.expect, dialect.resume];
  return endToEndHeaders(headerPairs(req.rawHeaders))
    .filter(([name]: Header) => !setByFront.includes(name.toLowerCase()))
    .map(([name, value]): [string, string] => [name, value]);
};

/**
 * Reads the headers and the body of a request. Throws `BodyTooLargeError` if the body exceeds `maxBodyBytes`.
 *
 * @param elapsedMs - returns the time since the request arrived, in ms; called after the body is read
 * @param onBytes - called with the size of each part of the body before it is kept
 */
export const readPassRequest = async (
  req: IncomingMessage,
  dialect: Dialect,
  maxBodyBytes: number,
  elapsedMs: () => number,
  onBytes: (bytes: number) => void,
): Promise<PassRequest> => {
  const valueOf = (name: string): string => {
    const value = name === '' ? undefined : req.headers[name];
    return typeof value === 'string' ? value : '';
  };
  const body = encodeBody(await readBytes(req, maxBodyBytes, onBytes));
  const [, mostTokens = ''] = valueOf(dialect.tokens).split(',');
  const timeoutMs = parseNumber(valueOf(dialect.remainingTime)) ?? Infinity;
  return {
    tenant: valueOf(dialect.tenant) || defaultTenant,
    host: valueOf('host').split(':')[0]?.toLowerCase() ?? '',
    method: req.method ?? 'GET',
    path: req.url ?? '/',
    headers: forwardedHeaders(req, dialect),
    body,
    attempt: valueOf(dialect.attempt),
    key: valueOf(dialect.key),
    left: Math.min(maxTimeoutMs, timeoutMs - elapsedMs()),
    program: valueOf(dialect.program),
    budget: parseNumber(valueOf(dialect.budget)),
    most: parseNumber(mostTokens) ?? 0,
    parts: parseParts(valueOf(dialect.parts)),
    after: valueOf(dialect.after),
    resume: valueOf(dialect.resume),
  };
};
