/**
 * Splits a stream of server-sent events (WHATWG HTML, section 9.2) into complete events; text is one byte a character.
 *
 * Owns the bytes behind the last complete event, and what the events so far amount to: their number, data and last id.
 */

const lineEnd = /\r?\n/;
const blankLine = /\r?\n\r?\n/;

const fieldValue = (line: string, name: string): string =>
  line.slice(name.length + 1).replace(/^ /, '');

/** Splits a stream of server-sent events into complete events. */
export class EventSplitter {
  private remainder = '';
  private events = 0;
  private eventId = '';
  private eventData = '';
  private withoutId = false;

  /** How many events with data were complete. */
  get count(): number {
    return this.events;
  }

  /** The id of the last event that had one; empty before. */
  get lastId(): string {
    return this.eventId;
  }

  /** The data of all events, a line feed behind each. */
  get data(): string {
    return this.eventData;
  }

  /** Whether the last event with data had no id of its own, so that no stream can be resumed behind it. */
  get lastEventHasNoId(): boolean {
    return this.withoutId;
  }

  /** Whether the stream stopped within an event. */
  get endsWithinEvent(): boolean {
    return this.remainder.trim() !== '';
  }

  /** What came behind the last complete event. */
  get trailingBytes(): string {
    return this.remainder;
  }

  /** Takes bytes as they came and returns those that complete events. */
  push(text: string): string {
    this.remainder += text;
    const end = this.lastEnd();
    if (end === 0) return '';
    const complete = this.remainder.slice(0, end);
    this.remainder = this.remainder.slice(end);
    for (const block of complete.split(blankLine)) this.readEvent(block);
    return complete;
  }

  /** Forgets an incomplete event, so that another server may go on behind the last complete one. */
  dropIncompleteEvent(): void {
    this.remainder = '';
  }

  private lastEnd(): number {
    const { remainder } = this;
    for (let at = remainder.lastIndexOf('\n'); at > 0; at = remainder.lastIndexOf('\n', at - 1))
      if (remainder[at - 1] === '\n' || (remainder[at - 1] === '\r' && remainder[at - 2] === '\n'))
        return at + 1;
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
    this.withoutId = ids.length === 0;
    this.events++;
    this.eventData += `${data.join('\n')}\n`;
  }
}
