/**
 * Reads the records of a log. A loss of power may tear the last batch, which is then not counted; a damaged batch with
 * valid ones behind it cannot come from that, so it is an error.
 */
import { JournalDamagedError } from './errors.js';
import { decodeFrame } from './frames.js';

const newline = 10;

/** Passes each valid record of a log on, from chunks of any size. Holds one line at most. */
export class LogScanner {
  /** Copies of the parts of a line whose end has not arrived. */
  private parts: Buffer[] = [];
  private lineStart = 0;
  private length = 0;
  private tornAt: number | undefined;

  constructor(
    private readonly name: string,
    private readonly onRecord: (record: unknown) => void,
  ) {}

  /**
   * Adds the next bytes of the file; the chunk may be overwritten afterwards.
   *
   * @throws JournalDamagedError if a valid batch follows a damaged one.
   */
  add(chunk: Buffer): void {
    let at = 0;
    for (let end = chunk.indexOf(newline); end >= 0; end = chunk.indexOf(newline, at)) {
      this.readLine(this.completeLine(chunk.subarray(at, end)));
      at = end + 1;
      this.lineStart = this.length + at;
    }
    if (at < chunk.length) this.parts.push(Buffer.from(chunk.subarray(at)));
    this.length += chunk.length;
  }

  /** The number of bytes so far. */
  get totalBytes(): number {
    return this.length;
  }

  /** Once all bytes were added: where the valid records end. */
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
        `${this.name}: the record at byte ${this.tornAt} is damaged and valid ones follow it`,
      );
    for (const record of batch) this.onRecord(record);
  }
}
