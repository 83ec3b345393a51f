/** Headers of forwarded HTTP messages: name-value pairs in the order received, without hop-by-hop headers. */
import { z } from 'zod';
import type { Header } from '@tillerstair/session-owner';
import { noContent, notModified } from './status-codes.js';

/** Names of the hop-by-hop headers, which are not forwarded, in lower case (RFC 9110, section 7.6.1). */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'proxy-connection',
  'te',
  'trailer',
  'content-length',
  'expect',
]);

const RawHeaders = z.array(z.string());

/**
 * Name-value pairs from a raw header list, in which names and values alternate. Throws if it is not a list of strings.
 */
export const headerPairs = (headers: unknown): readonly Header[] => {
  const raw = RawHeaders.parse(headers);
  const pairs: Header[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) pairs.push([raw[i] ?? '', raw[i + 1] ?? '']);
  return pairs;
};

const parseNameList = (value: string): readonly string[] =>
  value
    .toLowerCase()
    .split(',')
    .map((name) => name.trim());

/** Headers to forward: neither hop-by-hop nor named by `Connection` (RFC 9110, section 7.6.1). */
export const endToEndHeaders = (headers: readonly Header[]): readonly Header[] => {
  const connectionOptions = headers
    .filter(([name]) => name.toLowerCase() === 'connection')
    .flatMap(([, value]) => parseNameList(value));
  return headers.filter(
    ([name]) =>
      !hopByHopHeaders.has(name.toLowerCase()) && !connectionOptions.includes(name.toLowerCase()),
  );
};

const framingHeaders: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

/** Whether a response delimits its own body (RFC 9112, section 6.3) rather than by the close of its connection. */
export const isFramed = (status: number, headers: readonly Header[]): boolean =>
  status === noContent ||
  status === notModified ||
  headers.some(([name]) => framingHeaders.has(name.toLowerCase()));

/** Value of the first header with this lower-case name; '' if there is none. */
export const headerValue = (headers: readonly Header[], name: string): string =>
  headers.find(([key]) => key.toLowerCase() === name)?.[1] ?? '';
