/** Reads the stream of one turn as it comes, and tells a complete one from one that broke off. */
import { pipeline } from 'node:stream';
import type { Readable } from 'node:stream';
import split2 from 'split2';
import { brokenStreamCode, type CallerRecord } from './caller-record.js';
import { StreamLine } from './messages.js';

/** What a caller has of a turn. */
export type TurnReply = Pick<CallerRecord, 'status' | 'reported' | 'chunks' | 'text' | 'firstMs'> &
  Partial<Pick<CallerRecord, 'turn' | 'tokens' | 'errorCode'>>;

/** The stream of one turn; what came before an error stays readable. */
export class TurnStream {
  private readonly chunks: number[] = [];
  private text = '';
  private firstMs = 0;

  /** Counts the time to the first chunk from `startedAt` (ms). */
  constructor(private readonly startedAt: number) {}

  /** Whether any chunk came. */
  get hasChunks(): boolean {
    return this.chunks.length > 0;
  }

  /** Reads to the end; throws what the connection throws. */
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

  /** The reply so far, as one that ended early. */
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
