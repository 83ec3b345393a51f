/**
 * A client that speaks HTTP/1.1 over a socket of its own and judges by RFC 9112, section 6.3, whether an answer is
 * complete: a length or the last chunk says so, and where there is neither, the orderly end of the connection.
 */
import { connect } from 'node:net';

const headEnd = '\r\n\r\n';

const parseHead = (text) => {
  const [statusLine, ...lines] = text.split('\r\n');
  const headers = new Map(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { status: Number(statusLine.split(' ')[1]), headers };
};

/** The chunks of a body so far, and whether the last one was among them. */
const parseChunks = (text) => {
  let body = '';
  for (let at = 0; ;) {
    const lineEnd = text.indexOf('\r\n', at);
    if (lineEnd < 0) return { body, isComplete: false };
    const size = Number.parseInt(text.slice(at, lineEnd), 16);
    const start = lineEnd + 2;
    if (size === 0) return { body, isComplete: text.includes('\r\n', start) };
    if (text.length < start + size + 2)
      return { body: body + text.slice(start), isComplete: false };
    body += text.slice(start, start + size);
    at = start + size + 2;
  }
};

const parseAnswer = (text, endedInOrder) => {
  const split = text.indexOf(headEnd);
  if (split < 0)
    return { status: 0, headers: new Map(), body: '', framing: 'none', isComplete: false };
  const { status, headers } = parseHead(text.slice(0, split));
  const rest = text.slice(split + headEnd.length);
  if ((headers.get('transfer-encoding') ?? '').includes('chunked'))
    return { status, headers, framing: 'chunks', ...parseChunks(rest) };
  if (headers.has('content-length')) {
    const length = Number(headers.get('content-length'));
    const body = rest.slice(0, length);
    return { status, headers, framing: 'length', body, isComplete: body.length === length };
  }
  return { status, headers, framing: 'connection', body: rest, isComplete: endedInOrder };
};

/**
 * Sends one request on a connection of its own. Resolves once the answer is complete, the connection has ended, or
 * `timeoutMs` have passed; `end` says how the connection ended: `order` (FIN), `reset`, `open` or `timeout`.
 */
export const send = ({
  host,
  port,
  method = 'POST',
  path,
  headers,
  body = '',
  timeoutMs = 10000,
}) =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
    let text = '';
    const finish = (end) => {
      clearTimeout(timer);
      socket.destroy();
      resolve({ ...parseAnswer(text, end === 'order'), end });
    };
    const timer = setTimeout(() => finish('timeout'), timeoutMs);
    socket.on('connect', () => {
      const lines = Object.entries({ ...headers, 'Content-Length': Buffer.byteLength(body) });
      const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join('');
      socket.write(`${method} ${path} HTTP/1.1\r\n${head}\r\n${body}`);
    });
    socket.on('data', (part) => {
      text += part.toString('latin1');
      const answer = parseAnswer(text, false);
      if (answer.isComplete) finish('open');
    });
    socket.on('end', () => finish('order'));
    socket.on('error', () => finish('reset'));
  });
