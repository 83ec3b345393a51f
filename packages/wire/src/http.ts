import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { parseAddress } from './address.js';

export type HttpHandler = (req: IncomingMessage, res: ServerResponse, url: URL) => Promise<void>;

export const sendJson = (
  res: ServerResponse,
  status: number,
  body: unknown,
  headers: ReadonlyMap<string, string> = new Map(),
): void => {
  if (res.destroyed || res.writableEnded) return;
  const text = JSON.stringify(body);
  for (const [k, v] of headers) res.setHeader(k, v);
  res.setHeader('content-type', 'application/json');
  res.statusCode = status;
  res.end(text);
};

export class BodyTooLargeError extends Error {}

/** The bytes of a request's body; throws `BodyTooLargeError` for more than `most` of them. */
export const readBytes = async (req: IncomingMessage, most: number): Promise<Buffer> => {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of req) {
    const bytes = Buffer.isBuffer(part) ? part : Buffer.from(String(part));
    size += bytes.length;
    if (size > most) throw new BodyTooLargeError(`body is over ${most} bytes`);
    parts.push(bytes);
  }
  return Buffer.concat(parts);
};

/** A request's body as UTF-8 text, within the same limit. */
export const readBody = async (req: IncomingMessage, most: number): Promise<string> =>
  (await readBytes(req, most)).toString('utf8');

const urlOf = (path: string): URL | undefined => {
  try {
    const url = new URL(`http://x${path.startsWith('/') ? '' : '/'}${path}`);
    decodeURIComponent(url.pathname);
    return url;
  } catch {
    return undefined;
  }
};

export const serveHttp = (addr: string, page: HttpHandler): Promise<Server> => {
  const server = createServer((req, res) => {
    const url = urlOf(req.url ?? '/');
    if (!url)
      return sendJson(res, 400, {
        executed: 'no',
        errorCode: 'bad-path',
        text: 'the path cannot be read',
      });
    page(req, res, url).catch((e: unknown) => {
      if (e instanceof BodyTooLargeError) {
        sendJson(res, 413, { executed: 'no', errorCode: 'body-too-large', text: e.message });
        return;
      }
      const text = e instanceof Error ? e.message : String(e);
      if (res.headersSent) res.destroy();
      else sendJson(res, 500, { executed: 'unknown', errorCode: 'internal', text });
    });
  });
  const { host, port } = parseAddress(addr);
  return new Promise((done, fail) => {
    server.once('error', fail);
    server.listen(port, host, () => done(server));
  });
};
