/**
 * The format of a log: one line per batch of records, consisting of a CRC-32 in hexadecimal digits, a space, and a JSON
 * array. The checksum makes a batch either readable as a whole or not at all.
 */
import { crc32 } from 'node:zlib';

const space = 32;
const checksumDigits = 8;

/** Minimum size, in bytes, of the chunks in which a complete file is written. */
const writeChunkBytes = 256 << 10;

const checksumOf = (bytes: Buffer | string): string =>
  crc32(bytes).toString(16).padStart(checksumDigits, '0');

/** Encodes a batch of records as a line that includes its line feed. */
export const encodeFrame = (records: readonly unknown[]): Buffer => {
  const json = JSON.stringify(records);
  return Buffer.from(`${checksumOf(json)} ${json}\n`);
};

/** Decodes a line, given without its line feed; undefined if the line is damaged or torn. */
export const decodeFrame = (line: Buffer): readonly unknown[] | undefined => {
  if (line[checksumDigits] !== space) return undefined;
  const json = line.subarray(checksumDigits + 1);
  if (checksumOf(json) !== line.toString('latin1', 0, checksumDigits)) return undefined;
  const batch: unknown = JSON.parse(json.toString('utf8'));
  return Array.isArray(batch) ? batch : undefined;
};

/** Lazily encodes each record as a frame of its own and groups the frames into chunks. */
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
