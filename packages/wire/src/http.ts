/** HTTP server helpers for the interfaces of operators and callers: reading bodies, JSON responses, error statuses. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { BudgetUse, ByteBudget } from './byte-budget.js';
import { ConnectionGuard } from './connection-guard.js';
import { DrainableServer } from './drainable-server.js';
import { UnavailableError } from './errors/index.js';
import { GrowingBuffer } from './growing-buffer.js';
import { jsonMemoryBytes } from './json-size.js';
import { listenAt } from './listen.js';
import { UnsentBytes } from './unsent-bytes.js';

/** Maximum size of the line and headers of a request to such a listener, in bytes; the default of Node. */
const maxHeadBytes = 16 << 10;
const serviceUnavailable = 503;
const retryAfterS = 1;

/** What the connections and requests of a listener may make its process hold. */
export interface HttpLimits {
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** The memory for incomplete heads and for requests that wait. */
  readonly inputMemory: ByteBudget;
  /** The memory for bodies and for what they hold once they are parsed. */
  readonly bodyMemory: ByteBudget;
  /** The answers that wait for their clients. */
  readonly unsent: UnsentBytes;
}

const defaultMaxConnections = 2048;
const defaultInputBytes = 8 << 20;
const defaultBodyBytes = 32 << 20;
const defaultUnsentBytes = 32 << 20;

const defaultLimits = (): HttpLimits => ({
  maxConnections: defaultMaxConnections,
  inputMemory: new ByteBudget(defaultInputBytes),
  bodyMemory: new ByteBudget(defaultBodyBytes),
  unsent: new UnsentBytes(defaultUnsentBytes),
});

const bodyMemoryInUse = 'the memory for request bodies is in use';

/** The memory that each request takes for its body. */
const bodyUses = new WeakMap<IncomingMessage, BudgetUse>();

/** Responds to one request. `BodyTooLargeError` is answered 413, any other rejection 500. */
export type HttpHandler = (req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void>;

/** Sends a JSON response, unless the response has already ended or the connection is closed. */
export const sendJson = (
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: ReadonlyMap<string, string> = new Map(),
): void => {
  if (res.destroyed || res.writableEnded) return;
  const text = JSON.stringify(body);
  for (const [name, value] of headers) res.setHeader(name, value);
  res.setHeader('content-type', 'application/json');
  res.statusCode = status;
  res.end(text);
};

/** A request body exceeds the receiver's limit; answered 413. */
export class BodyTooLargeError extends Error {}

/**
 * Reads the body of a request; throws `BodyTooLargeError` if it has more than `maxBytes` bytes, and what `onBytes` throws,
 * which is called with the size of each part before it is kept.
 */
export const readBytes = async (
  req: IncomingMessage,
  maxBytes: number,
  onBytes: (bytes: number) => void = () => undefined,
): Promise<Buffer> => {
  const body = new GrowingBuffer();
  let size = 0;
  for await (const chunk of req) {
    const bytes = Buffer.isBuffer(chunk) ? chunk : Buffer.from(String(chunk));
    size += bytes.length;
    if (!(bodyUses.get(req)?.take(bytes.length) ?? true))
      throw new UnavailableError('memory-full', bodyMemoryInUse);
    if (size > maxBytes) throw new BodyTooLargeError(`body is over ${maxBytes} bytes`);
    onBytes(bytes.length);
    body.append(bytes);
  }
  // It was refused while it was incomplete, and must not be handled.
  if (bodyUses.get(req)?.wasEvicted) throw new UnavailableError('memory-full', bodyMemoryInUse);
  return body.toBuffer();
};

/** Reads the body of a request as UTF-8 text; throws `BodyTooLargeError` if it has more than `maxBytes` bytes. */
export const readBody = async (req: IncomingMessage, maxBytes: number): Promise<string> =>
  (await readBytes(req, maxBytes)).toString('utf8');

/**
 * Reads a body that is to be parsed as JSON, and reserves the memory for that until the request is handled.
 *
 * @throws BodyTooLargeError if it has more than `maxBytes` bytes, or so many values that it would never fit
 * @throws UnavailableError (`memory-full`) if the memory is in use
 */
export const readJsonText = async (req: IncomingMessage, maxBytes: number): Promise<string> => {
  const text = await readBody(req, maxBytes);
  const use = bodyUses.get(req);
  if (!use) return text;
  const memoryBytes = jsonMemoryBytes(text);
  if (memoryBytes > use.mostBytes)
    throw new BodyTooLargeError(`the body has too many values: ${memoryBytes} bytes of memory`);
  if (!use.resize(memoryBytes)) throw new UnavailableError('memory-full', bodyMemoryInUse);
  return text;
};

/** Parses the path of a request; undefined if it is not a valid URL path. */
const parsePath = (path: string): URL | undefined => {
  try {
    const url = new URL(`http://x${path.startsWith('/') ? '' : '/'}${path}`);
    decodeURIComponent(url.pathname);
    return url;
  } catch {
    return undefined;
  }
};

const sendMemoryFull = (res: ServerResponse, text: string): void => {
  const headers = new Map([['retry-after', String(retryAfterS)]]);
  const body = { executed: 'no', errorCode: 'memory-full', text };
  sendJson(res, serviceUnavailable, body, headers);
};

/** Counts the body of a request until `release`; an incomplete body may be refused for a smaller one. */
const reserveBodyMemory = (
  req: IncomingMessage,
  res: ServerResponse,
  bodyMemory: ByteBudget,
): BudgetUse => {
  const use = new BudgetUse(bodyMemory);
  bodyUses.set(req, use);
  use.allowEviction({
    isAllowed: () => !req.complete,
    onEvicted: () => {
      res.shouldKeepAlive = false;
      sendMemoryFull(res, bodyMemoryInUse);
    },
  });
  return use;
};

/**
 * Starts an HTTP server at an address; resolves once it listens and rejects if it cannot. A path that cannot be parsed
 * is answered 400, a body that is too large 413, a body for which there is no memory 503, and any other error of the handler
 * 500 with `executed: "unknown"`; if the response has already begun, the connection is closed instead.
 */
export const serveHttp = async (
  address: string,
  handler: HttpHandler,
  limits: HttpLimits = defaultLimits(),
): Promise<DrainableServer> => {
  const server = new DrainableServer({ maxHeaderSize: maxHeadBytes }, (req, res) => {
    const use = reserveBodyMemory(req, res, limits.bodyMemory);
    const url = parsePath(req.url ?? '/');
    if (!url) {
      use.release();
      return sendJson(res, 400, {
        executed: 'no',
        errorCode: 'bad-path',
        text: 'the path cannot be read',
      });
    }
    const handled = handler(req, res, url).catch((error: unknown) => {
      // The rest of a body that was refused is not read.
      if (!req.complete) res.shouldKeepAlive = false;
      if (error instanceof BodyTooLargeError) {
        sendJson(res, 413, { executed: 'no', errorCode: 'body-too-large', text: error.message });
        return;
      }
      if (error instanceof UnavailableError && error.code === 'memory-full') {
        sendMemoryFull(res, error.message);
        return;
      }
      const text = error instanceof Error ? error.message : String(error);
      if (res.headersSent) res.destroy();
      else sendJson(res, 500, { executed: 'unknown', errorCode: 'internal', text });
    });
    void handled.finally(() => use.release());
  });
  new ConnectionGuard(server, {
    maxConnections: () => limits.maxConnections,
    maxHeadBytes: () => maxHeadBytes,
    inputMemory: limits.inputMemory,
    unsent: limits.unsent,
  });
  await listenAt(server, address);
  return server;
};
