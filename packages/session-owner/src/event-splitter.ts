/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events; each character of the text is
 * one byte (latin1).
 *
 * Owns the bytes after the last complete event, and the number, data and last id of the complete events.
 */

const lineEnd = /\r?\n/;
const blankLine = /\r?\n\r?\n/;

const fieldValue = (line: string, name: string): string =>
  line.slice(name.length + 1).replace(/^ /, '');

/** An incremental parser of one stream of server-sent events. */
export class EventSplitter {
  private remainder = '';
  private events = 0;
  private eventId = '';
  private eventData = '';
  private lastWithoutId = false;

  /** @param keepsData - whether `data` is needed; otherwise it stays empty */
  constructor(private readonly keepsData = true) {}

  /** Number of complete events with data. */
  get count(): number {
    return this.events;
  }

  /** Id of the last event that had one; empty if none had. */
  get lastId(): string {
    return this.eventId;
  }

  /** Data of all complete events, each followed by a line feed. */
  get data(): string {
    return this.eventData;
  }

  /** Whether the last event with data had no id of its own, so that the stream cannot be resumed after it. */
  get lastEventHasNoId(): boolean {
    return this.lastWithoutId;
  }

  /** Number of bytes that this parser keeps: of an incomplete event, and of the data. */
  get keptBytes(): number {
    return this.remainder.length + this.eventData.length;
  }

  /** Whether the stream so far ends within an incomplete event. */
  get endsWithinEvent(): boolean {
    return this.remainder.trim() !== '';
  }

  /** Bytes after the last complete event. */
  get trailingBytes(): string {
    return this.remainder;
  }

  /** Adds received bytes; returns all buffered bytes up to the end of the last complete event, or an empty text. */
  push(text: string): string {
    this.remainder += text;
    const end = this.lastEventEnd();
    if (end === 0) return '';
    const complete = this.remainder.slice(0, end);
    this.remainder = this.remainder.slice(end);
    for (const block of complete.split(blankLine)) this.readEvent(block);
    return complete;
  }

  /** Discards an incomplete event, so that another server can resume the stream after the last complete one. */
  dropIncompleteEvent(): void {
    this.remainder = '';
  }

  /** Index after the last blank line, which ends an event; 0 if there is none. */
  private lastEventEnd(): number {
    const { remainder } = this;
    for (let i = remainder.lastIndexOf('\n'); i > 0; i = remainder.lastIndexOf('\n', i - 1))
      if (remainder[i - 1] === '\n' || (remainder[i - 1] === '\r' && remainder[i - 2] === '\n'))
        return i + 1;
    return 0;
  }

  private readEvent(block: string): void {
    const lines = block.split(lineEnd);
    const data = lines
      .filter((line) => line === 'data' || line.startsWith('data:'))
      .map((line) => fieldValue(line, 'data'));
    const ids = lines.filter((line) => line.startsWith('id:'));
    for (const line of ids) this.eventId = fieldValue(line, 'id');
    if (data.length === 0) return;
    this.lastWithoutId = ids.length === 0;
    this.events++;
    if (this.keepsData) this.eventData += `${data.join('\n')}\n`;
  }
}
