/**
 * Writes log lines to standard error without ever failing or waiting for its reader. Owns the number of lines that were
 * dropped because the reader has gone or does not keep up.
 */

/** Bytes that may wait for a slow reader; further lines are dropped. */
const maxWaitingBytes = 1 << 20;

/** The part of a writable stream that a `LineWriter` uses. */
export interface LineStream {
  readonly destroyed: boolean;
  /** Bytes that were written but not taken by the reader yet. */
  readonly writableLength: number;
  write(text: string): unknown;
  on(event: 'error', listener: () => void): unknown;
}

/** Writes lines to a stream whose reader may be slow or gone. */
export class LineWriter {
  private dropped = 0;

  constructor(private readonly stream: LineStream) {
    // A reader that has gone makes a write fail with EPIPE; without a listener that would end the process.
    stream.on('error', () => undefined);
  }

  /** Writes a line, or drops it if its reader has gone or too much waits for it; adds the line break. */
  write(line: string): void {
    if (this.stream.destroyed || this.stream.writableLength > maxWaitingBytes) {
      this.dropped++;
      return;
    }
    const gap = this.dropped > 0 ? `${this.dropped} lines of the log were dropped here.\n` : '';
    this.dropped = 0;
    this.writeText(`${gap}${line}\n`);
  }

  private writeText(text: string): void {
    try {
      this.stream.write(text);
    } catch {
      this.dropped++;
    }
  }
}

let standardError: LineWriter | undefined;

/** Writes a line to the standard error of this process; never throws and never waits. */
export const writeLogLine = (line: string): void => {
  standardError ??= new LineWriter(process.stderr);
  standardError.write(line);
};
