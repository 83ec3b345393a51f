/**
 * How records are stored in a log: one line for each batch, which is a checksum in hexadecimal digits, a space, and a
 * JSON array. A batch is on disk completely or not at all.
 */
import { crc32 } from 'node:zlib';

const space = 32;
const checksumDigits = 8;

/** Bytes that are passed to the disk at once when a complete file is written. */
const writeChunkBytes = 256 << 10;

const checksumOf = (bytes: Buffer | string): string =>
  crc32(bytes).toString(16).padStart(checksumDigits, '0');

/** The line of a batch of records, with its line feed. */
export const encodeFrame = (records: readonly unknown[]): Buffer => {
  const json = JSON.stringify(records);
  return Buffer.from(`${checksumOf(json)} ${json}\n`);
};

/** The records of a line without its line feed, or undefined if it is damaged or torn. */
export const decodeFrame = (line: Buffer): readonly unknown[] | undefined => {
  if (line[checksumDigits] !== space) return undefined;
  const json = line.subarray(checksumDigits + 1);
  if (checksumOf(json) !== line.toString('latin1', 0, checksumDigits)) return undefined;
  const batch: unknown = JSON.parse(json.toString('utf8'));
  return Array.isArray(batch) ? batch : undefined;
};

/** Encodes records one by one as they are requested, several frames to a chunk. */
export function* frameChunks(records: Iterable<unknown>): Generator<Buffer> {
  let frames: Buffer[] = [];
  let bytes = 0;
  for (const record of records) {
    const frame = encodeFrame([record]);
    frames.push(frame);
    bytes += frame.length;
    if (bytes < writeChunkBytes) continue;
    yield Buffer.concat(frames);
    frames = [];
    bytes = 0;
  }
  if (bytes > 0) yield Buffer.concat(frames);
}
