/** One recorded request over a connection of its own, in the bytes in which it was recorded. */
import { connect } from 'node:net';
import split2 from 'split2';
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
const ownerRetryMs = 200;

/** Sends the recorded lines and resolves with the answer. Rejects if there is none in time. */
export const callRaw = async (address: string, call: RecordedCall): Promise<RawAnswer> => {
  const [host = '', port = ''] = address.split(':');
  const socket = connect(Number(port), host);
  const timer = setTimeout(() => socket.destroy(), answerTimeoutMs);
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
    clearTimeout(timer);
    socket.destroy();
  }
};

/** Sends the recorded lines to several nodes until one of them, the owner, answers them. */
export const callOwner = async (
  addresses: readonly string[],
  call: RecordedCall,
): Promise<RawAnswer> => {
  const end = Date.now() + ownerTimeoutMs;
  for (;;) {
    const answers = await Promise.all(addresses.map((address) => callRaw(address, call)));
    const answer = answers.find((a) => a.end.error === undefined);
    if (answer !== undefined) return answer;
    const codes = answers.map((a) => a.end.error?.code ?? '');
    if (Date.now() > end || codes.every((code) => !passingCodes.has(code)))
      throw new Error(`${codes.join()} to ${call.line}`);
    await new Promise((resolve) => setTimeout(resolve, ownerRetryMs));
  }
};
