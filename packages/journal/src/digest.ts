/** Length and checksum of a file's bytes, to compare what was written with what is read back. */
import { crc32 } from 'node:zlib';

/** Length and checksum of bytes that arrive in chunks. */
export class Digest {
  private length = 0;
  private checksum = 0;

  /** The number of bytes so far. */
  get bytes(): number {
    return this.length;
  }

  /** Adds the next chunk, which may be overwritten afterwards. */
  add(chunk: Buffer): void {
    this.length += chunk.length;
    this.checksum = crc32(chunk, this.checksum);
  }

  /** Passes chunks on unchanged and adds each of them. */
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
