/** Collects bytes that arrive in parts of any size, without an object for each part. */
export class GrowingBuffer {
  private bytes: Buffer = Buffer.alloc(0);
  private length = 0;

  append(part: Buffer): void {
    this.reserve(this.length + part.length);
    part.copy(this.bytes, this.length);
    this.length += part.length;
  }

  /** All bytes so far. */
  toBuffer(): Buffer {
    return this.bytes.subarray(0, this.length);
  }

  /** Doubles the capacity as needed, so that each byte is copied a bounded number of times on average. */
  private reserve(capacity: number): void {
    if (capacity <= this.bytes.length) return;
    const grown = Buffer.allocUnsafeSlow(Math.max(capacity, this.bytes.length * 2));
    this.bytes.copy(grown, 0, 0, this.length);
    this.bytes = grown;
  }
}
