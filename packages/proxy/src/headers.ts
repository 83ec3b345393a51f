/** Headers of HTTP messages that are forwarded: as name and value in the order received, none of one connection. */
import { z } from 'zod';
import type { Header } from '@tillerstair/session-owner';
import { noContent, notModified } from './status-codes.js';

/** Headers that concern one connection only, in lower case (RFC 9110, section 7.6.1). */
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

/** Pairs of name and value from a raw list, in which they take turns. */
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

/** The headers that go on to the next connection (RFC 9110, section 7.6.1). */
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

/** Whether an answer says itself where it ends (RFC 9112, section 6.3), other than by the end of its connection. */
export const isFramed = (status: number, headers: readonly Header[]): boolean =>
  status === noContent ||
  status === notModified ||
  headers.some(([name]) => framingHeaders.has(name.toLowerCase()));

/** The value of the first header of that name (in lower case), or ''. */
export const headerValue = (headers: readonly Header[], name: string): string =>
  headers.find(([key]) => key.toLowerCase() === name)?.[1] ?? '';
