/** Length and checksum of a file, to compare the bytes that were written with those read back. */
import { crc32 } from 'node:zlib';

/** Length in bytes and CRC-32 of data that is added in chunks. */
export class Digest {
  private length = 0;
  private checksum = 0;

  /** Total length of the chunks added so far, in bytes. */
  get bytes(): number {
    return this.length;
  }

  /** Adds the next chunk; the caller may reuse its buffer afterwards. */
  add(chunk: Buffer): void {
    this.length += chunk.length;
    this.checksum = crc32(chunk, this.checksum);
  }

  /** Yields the chunks unchanged and adds each one to the digest. */
  *through(chunks: Iterable<Buffer>): Generator<Buffer> {
    for (const chunk of chunks) {
      this.add(chunk);
      yield chunk;
    }
  }

  /** Whether both lengths and both checksums are equal. */
  equals(other: Digest): boolean {
    return this.length === other.length && this.checksum === other.checksum;
  }
}
