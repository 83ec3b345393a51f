/** Reads the answer of a model server: numbered chunks of one turn, and an end that counts them (`docs/backends.md`). */
import { pipeline, type Readable } from 'node:stream';
import split2 from 'split2';
import type { BackendOutcome } from '@tillerstair/session-owner';
import { TurnLine } from './server-messages.js';
import { ok } from './status-codes.js';

const maxLineLength = 1 << 20;

const lost = (text: string): BackendOutcome => ({ kind: 'lost', text });

/**
 * Resolves with the count of chunks once the end has come that counts them. A line of another request, a gap, a repeat,
 * another count or a missing end makes the outcome `lost`; a body that fails or is no JSON rejects.
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
    if (line.id !== id) return lost('the server answered another request');
    if ('end' in line)
      return line.chunks === received
        ? { kind: 'done', code: ok, body: received }
        : lost('the server counted other chunks');
    if (line.n !== received) return lost('the server skipped or repeated a chunk');
    onChunk(received++, line.text);
    if (signal.aborted) break;
  }
  return lost('the stream stopped without an end');
};
