/** How records stand in a file: one line a batch, a checksum before it. */
import { crc32 } from 'node:zlib';

export class JournalCorrupt extends Error {}

/** One line for a batch of records, which is on disk as a whole or not at all. */
export const frame = (records: readonly unknown[]): Buffer => {
  const json = JSON.stringify(records);
  return Buffer.from(`${crc32(json).toString(16).padStart(8, '0')} ${json}\n`);
};

const unframe = (line: string): readonly unknown[] | undefined => {
  if (line.charAt(8) !== ' ') return undefined;
  const json = line.slice(9);
  if (crc32(json).toString(16).padStart(8, '0') !== line.slice(0, 8)) return undefined;
  const v: unknown = JSON.parse(json);
  return Array.isArray(v) ? v : undefined;
};

export interface Scan {
  readonly records: readonly unknown[];
  readonly good: number;
}

/** The records of a file up to a torn tail; a damaged line before good ones is an error. */
export const scan = (name: string, bytes: Buffer): Scan => {
  const records: unknown[] = [];
  let at = 0;
  let torn = -1;
  while (at < bytes.length) {
    const nl = bytes.indexOf(10, at);
    const batch = nl < 0 ? undefined : unframe(bytes.toString('utf8', at, nl));
    if (batch === undefined) {
      if (torn < 0) torn = at;
    } else {
      if (torn >= 0) throw new JournalCorrupt(`${name}: record at byte ${torn} is damaged and good ones follow it`);
      for (const r of batch) records.push(r);
    }
    if (nl < 0) break;
    at = nl + 1;
  }
  return { records, good: torn < 0 ? bytes.length : torn };
};
