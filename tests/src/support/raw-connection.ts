/** Replays a recorded request, byte for byte, over a new connection. */
import { connect } from 'node:net';
import split2 from 'split2';
import { until } from '@tillerstair/fleet';
import { hostClock } from '@tillerstair/wire';
import { parseMessage, type Message, type RecordedCall } from './stored-fixture.js';

/** The reply to a request: its chunks and the final message. */
export interface RawAnswer {
  readonly chunks: readonly unknown[];
  readonly end: Message;
}

const answerTimeoutMs = 10000;

/** Error codes of nodes that do not own the slot, or cannot serve it yet. */
const transientCodes: ReadonlySet<string> = new Set([
  'no-owner',
  'not-owner',
  'not-ready',
  'taking-over',
  'unavailable',
]);

const ownerTimeoutMs = 20000;

/** Sends the recorded lines to a node and returns its reply; throws if none arrives within 10 s. */
export const callRaw = async (address: string, call: RecordedCall): Promise<RawAnswer> => {
  const [host = '', port = ''] = address.split(':');
  const socket = connect(Number(port), host);
  const timer = hostClock.after(answerTimeoutMs, () => socket.destroy());
  const chunks: unknown[] = [];
  const lines = socket.pipe(split2());
  socket.on('error', () => socket.destroy());
  socket.on('close', () => lines.end());
  try {
    socket.write(`${call.helloLine}\n${call.line}\n`);
    for await (const line of lines) {
      const message = parseMessage(String(line));
      if (message.chunk === undefined) return { chunks, end: message };
      chunks.push(message.chunk);
    }
    throw new Error(`no reply to ${call.line}`);
  } finally {
    timer.stop();
    socket.destroy();
  }
};

/**
 * Sends the recorded lines to all nodes until one of them, the owner, answers without an error. Throws after 20 s, or
 * if no node answers with a transient code.
 */
export const callOwner = async (
  addresses: readonly string[],
  call: RecordedCall,
): Promise<RawAnswer> => {
  let answered: RawAnswer | undefined;
  await until(`an owner for ${call.line}`, ownerTimeoutMs, async () => {
    const answers = await Promise.all(addresses.map((address) => callRaw(address, call)));
    answered = answers.find(({ end }) => end.error === undefined);
    if (answered !== undefined) return true;
    const codes = answers.map(({ end }) => end.error?.code ?? '');
    if (codes.every((code) => !transientCodes.has(code)))
      throw new Error(`errors ${codes.join()} in reply to ${call.line}`);
    return false;
  });
  if (answered === undefined) throw new Error(`no reply to ${call.line}`);
  return answered;
};
