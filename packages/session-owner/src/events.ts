/** Splits a stream of server-sent events (WHATWG HTML, section 9.2) into whole events; text is one byte a character. */
export class Events {
  private rest = '';
  count = 0;
  lastId = '';
  data = '';
  /** True when the last event with data had no id of its own, so that nobody can go on after it. */
  unnamed = false;

  /** Takes bytes as they came and gives back those that end whole events. */
  take(text: string): string {
    this.rest += text;
    const end = this.lastEnd();
    if (end === 0) return '';
    const whole = this.rest.slice(0, end);
    this.rest = this.rest.slice(end);
    for (const block of whole.split(/\r?\n\r?\n/)) this.event(block);
    return whole;
  }

  /** True when the stream stopped in the middle of an event. */
  get torn(): boolean {
    return this.rest.trim() !== '';
  }

  /** What came after the last whole event. */
  get tail(): string {
    return this.rest;
  }

  private lastEnd(): number {
    const { rest } = this;
    for (let at = rest.lastIndexOf('\n'); at > 0; at = rest.lastIndexOf('\n', at - 1))
      if (rest[at - 1] === '\n' || (rest[at - 1] === '\r' && rest[at - 2] === '\n')) return at + 1;
    return 0;
  }

  private event(block: string): void {
    const lines = block.split(/\r?\n/);
    const after = (line: string, name: string): string =>
      line.slice(name.length + 1).replace(/^ /, '');
    const data = lines
      .filter((l) => l === 'data' || l.startsWith('data:'))
      .map((l) => after(l, 'data'));
    const ids = lines.filter((l) => l.startsWith('id:'));
    for (const l of ids) this.lastId = after(l, 'id');
    if (data.length === 0) return;
    this.unnamed = ids.length === 0;
    this.count++;
    this.data += `${data.join('\n')}\n`;
  }

  /** Forgets a torn event, so that another server may go on after the last whole one. */
  drop(): void {
    this.rest = '';
  }
}
