/**
 * Reads the response of a model server: numbered chunks of one turn, and an end with their number (`docs/backends.md`).
 */
import { pipeline, type Readable } from 'node:stream';
import split2 from 'split2';
import type { BackendOutcome } from '@tillerstair/session-owner';
import { TurnLine } from './server-messages.js';
import { ok } from './status-codes.js';

const maxLineLength = 1 << 20;

const lost = (text: string): BackendOutcome => ({ kind: 'lost', text });

/**
 * Reads a turn's stream and resolves with the number of chunks as the body of the outcome. The outcome is `lost` if a
 * line belongs to another request, a chunk is skipped or repeated, or the end is missing or states another number.
 * Rejects if the body fails or a line is not valid.
 */
export const readTurnStream = async (
  body: Readable,
  id: string,
  onChunk: (index: number, text: string) => void,
  signal: AbortSignal,
): Promise<BackendOutcome> => {
  let received = 0;
  const lines = split2({ maxLength: maxLineLength });
  pipeline(body, lines, () => undefined);
  for await (const text of lines) {
    const line = TurnLine.parse(JSON.parse(String(text)));
    if (line.id !== id) return lost(`the server answered another request than ${id}`);
    if ('end' in line)
      return line.chunks === received
        ? { kind: 'done', code: ok, body: received }
        : lost(`the stream states ${line.chunks} chunks, but ${received} arrived`);
    if (line.n !== received) return lost(`the server sent chunk ${line.n} instead of ${received}`);
    onChunk(received++, line.text);
    if (signal.aborted) break;
  }
  return lost(`the stream stopped without an end after ${received} chunks`);
};
