/** How records stand in a file: one line a batch, a checksum before it. */
import { crc32 } from 'node:zlib';

export class JournalDamagedError extends Error {}

const newline = 10;
const space = 32;
const checksumDigits = 8;

/** Bytes that are handed to the disk at once when a whole file is written. */
const writeBytes = 256 << 10;

const checksumOf = (bytes: Buffer | string): string =>
  crc32(bytes).toString(16).padStart(checksumDigits, '0');

/** One line for a batch of records, which is on disk as a whole or not at all. */
export const encodeFrame = (records: readonly unknown[]): Buffer => {
  const json = JSON.stringify(records);
  return Buffer.from(`${checksumOf(json)} ${json}\n`);
};

const unframe = (line: Buffer): readonly unknown[] | undefined => {
  if (line[checksumDigits] !== space) return undefined;
  const json = line.subarray(checksumDigits + 1);
  if (checksumOf(json) !== line.toString('latin1', 0, checksumDigits)) return undefined;
  const v: unknown = JSON.parse(json.toString('utf8'));
  return Array.isArray(v) ? v : undefined;
};

/** Frames records one by one as they are asked for, several frames to a chunk. */
export function* frameChunks(records: Iterable<unknown>): Generator<Buffer> {
  let frames: Buffer[] = [];
  let bytes = 0;
  for (const record of records) {
    const framed = encodeFrame([record]);
    frames.push(framed);
    bytes += framed.length;
    if (bytes < writeBytes) continue;
    yield Buffer.concat(frames);
    frames = [];
    bytes = 0;
  }
  if (bytes > 0) yield Buffer.concat(frames);
}

/** Length and checksum of bytes that pass by in chunks. */
export class Digest {
  private length = 0;
  private checksum = 0;

  get bytes(): number {
    return this.length;
  }

  add(chunk: Buffer): void {
    this.length += chunk.length;
    this.checksum = crc32(chunk, this.checksum);
  }

  /** The chunks as they are, counted one by one. */
  *through(chunks: Iterable<Buffer>): Generator<Buffer> {
    for (const chunk of chunks) {
      this.add(chunk);
      yield chunk;
    }
  }

  equals(other: Digest): boolean {
    return this.length === other.length && this.checksum === other.checksum;
  }
}

/** Reads the records of a file from its chunks, up to a torn tail; a damaged line before good ones is an error. */
export class LogScanner {
  /** Copies of the parts of a line whose end was not met yet. */
  private parts: Buffer[] = [];
  private lineAt = 0;
  private length = 0;
  private torn: number | undefined;

  constructor(
    private readonly name: string,
    private readonly onRecord: (record: unknown) => void,
  ) {}

  /** Takes the next bytes of the file; the chunk may be overwritten afterwards. */
  add(chunk: Buffer): void {
    let at = 0;
    for (let end = chunk.indexOf(newline); end >= 0; end = chunk.indexOf(newline, at)) {
      this.line(this.joined(chunk.subarray(at, end)));
      at = end + 1;
      this.lineAt = this.length + at;
    }
    if (at < chunk.length) this.parts.push(Buffer.from(chunk.subarray(at)));
    this.length += chunk.length;
  }

  /** The length of all bytes so far. */
  get totalBytes(): number {
    return this.length;
  }

  /** Once all bytes were added: where the good records end. */
  get validBytes(): number {
    return this.torn ?? this.lineAt;
  }

  private joined(last: Buffer): Buffer {
    if (this.parts.length === 0) return last;
    const whole = Buffer.concat([...this.parts, last]);
    this.parts = [];
    return whole;
  }

  private line(line: Buffer): void {
    const batch = unframe(line);
    if (batch === undefined) {
      this.torn ??= this.lineAt;
      return;
    }
    if (this.torn !== undefined)
      throw new JournalDamagedError(
        `${this.name}: record at byte ${this.torn} is damaged and good ones follow it`,
      );
    for (const record of batch) this.onRecord(record);
  }
}
