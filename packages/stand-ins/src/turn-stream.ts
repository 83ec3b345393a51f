/** Reads the stream of one turn as it arrives, and tells a complete stream from one that was cut off. */
import { pipeline } from 'node:stream';
import type { Readable } from 'node:stream';
import split2 from 'split2';
import { brokenStreamCode, type CallerRecord } from './caller-record.js';
import { StreamLine } from './messages.js';

/** The part of a caller's record that comes from the stream of a turn. */
export type TurnReply = Pick<CallerRecord, 'status' | 'reported' | 'chunks' | 'text' | 'firstMs'> &
  Partial<Pick<CallerRecord, 'turn' | 'tokens' | 'errorCode'>>;

/** The stream of one turn; the chunks received before an error stay available through `partial`. */
export class TurnStream {
  private readonly chunks: number[] = [];
  private text = '';
  private firstMs = 0;

  /** `startedAt` is the time of the request in ms, from which the time to the first chunk is measured. */
  constructor(private readonly startedAt: number) {}

  /** Whether any chunk was received. */
  get hasChunks(): boolean {
    return this.chunks.length > 0;
  }

  /** Reads to the end of the stream; rejects with the connection's error, or if a line does not match its schema. */
  async read(body: Readable): Promise<TurnReply> {
    const lines = split2();
    pipeline(body, lines, () => undefined);
    for await (const text of lines) {
      const line = StreamLine.parse(JSON.parse(String(text)));
      if ('end' in line)
        return { ...this.reply('done'), turn: line.end.turn, tokens: line.end.tokens };
      if ('partial' in line) return this.partial(line.errorCode ?? '');
      this.firstMs ||= Date.now() - this.startedAt;
      this.chunks.push(line.n);
      this.text += line.text;
    }
    return this.partial(brokenStreamCode);
  }

  /** The reply as received so far, reported as partial with the given error code. */
  partial(errorCode: string): TurnReply {
    return { ...this.reply('partial'), errorCode };
  }

  private reply(reported: CallerRecord['reported']): TurnReply {
    return {
      status: 200,
      reported,
      chunks: this.chunks,
      text: this.text,
      firstMs: this.firstMs,
    };
  }
}
