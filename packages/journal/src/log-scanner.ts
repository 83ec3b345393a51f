/**
 * Reads the records of a log. A power loss may tear the last batch, which is then ignored; it cannot cause a damaged
 * batch that is followed by a valid one, so that is an error.
 */
import { JournalDamagedError } from './errors.js';
import { decodeFrame } from './frames.js';

const newline = 10;

/** Parses a log from chunks of any size and passes each valid record to a callback. Buffers at most one line. */
export class LogScanner {
  /** Copies of the parts of a line whose line feed has not arrived. */
  private parts: Buffer[] = [];
  private lineStart = 0;
  private length = 0;
  private tornAt: number | undefined;

  constructor(
    private readonly name: string,
    private readonly onRecord: (record: unknown) => void,
  ) {}

  /**
   * Adds the next chunk of the file; the caller may reuse its buffer afterwards.
   *
   * @throws JournalDamagedError if a valid batch follows a damaged one.
   */
  add(chunk: Buffer): void {
    let offset = 0;
    for (let end = chunk.indexOf(newline); end >= 0; end = chunk.indexOf(newline, offset)) {
      this.readLine(this.completeLine(chunk.subarray(offset, end)));
      offset = end + 1;
      this.lineStart = this.length + offset;
    }
    if (offset < chunk.length) this.parts.push(Buffer.from(chunk.subarray(offset)));
    this.length += chunk.length;
  }

  /** Total length of the chunks added so far, in bytes. */
  get totalBytes(): number {
    return this.length;
  }

  /** Length of the valid part of the log, in bytes; final once all chunks were added. */
  get validBytes(): number {
    return this.tornAt ?? this.lineStart;
  }

  private completeLine(lastPart: Buffer): Buffer {
    if (this.parts.length === 0) return lastPart;
    const line = Buffer.concat([...this.parts, lastPart]);
    this.parts = [];
    return line;
  }

  private readLine(line: Buffer): void {
    const batch = decodeFrame(line);
    if (batch === undefined) {
      this.tornAt ??= this.lineStart;
      return;
    }
    if (this.tornAt !== undefined)
      throw new JournalDamagedError(
        `${this.name}: the record at byte ${this.tornAt} is damaged, but valid records follow it`,
      );
    for (const record of batch) this.onRecord(record);
  }
}
