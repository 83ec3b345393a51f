/** One recorded request over a connection of its own, in the bytes in which it was recorded. */
import { connect } from 'node:net';
import split2 from 'split2';
import { until } from '@tillerstair/fleet';
import { hostClock } from '@tillerstair/wire';
import { parseMessage, type Message, type RecordedCall } from './stored-fixture.js';

/** All that came back for a request. */
export interface RawAnswer {
  readonly chunks: readonly unknown[];
  readonly end: Message;
}

const answerTimeoutMs = 10000;

/** Codes of nodes that are not, or not yet, the ones to ask. */
const passingCodes: ReadonlySet<string> = new Set([
  'no-owner',
  'not-owner',
  'not-ready',
  'taking-over',
  'unavailable',
]);

const ownerTimeoutMs = 20000;

/** Sends the recorded lines and resolves with the answer. Rejects if there is none in time. */
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
    throw new Error(`no answer to ${call.line}`);
  } finally {
    timer.stop();
    socket.destroy();
  }
};

/** Sends the recorded lines to several nodes until one of them, the owner, answers them. */
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
    if (codes.every((code) => !passingCodes.has(code)))
      throw new Error(`${codes.join()} to ${call.line}`);
    return false;
  });
  if (answered === undefined) throw new Error(`no answer to ${call.line}`);
  return answered;
};
