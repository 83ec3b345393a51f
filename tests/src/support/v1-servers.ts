/** Configuration and server behavior for the test of the product's own `/v1` interface. */
import { z } from 'zod';
import { passRoutes } from '@tillerstair/sim';
import type { ReceivedRequest, ServerBehavior } from './http-server.js';

/** A configuration with a route of each kind, in the product's format (docs/operators.md). */
export const configText = (base: number, origin = ''): string =>
  JSON.stringify({
    base,
    pools: [
      { name: 'models', kind: 'model' },
      { name: 'shop', kind: 'service' },
      { name: 'empty', kind: 'service' },
    ],
    routes: [
      {
        name: 'chat',
        match: { kind: 'turn', path: '/chat' },
        shares: [{ pool: 'models', share: 1 }],
      },
      {
        name: 'buy',
        match: { kind: 'call', path: '/buy' },
        acting: true,
        shares: [{ pool: 'shop', share: 1 }],
      },
      {
        name: 'see',
        match: { kind: 'call', path: '/see' },
        urgent: true,
        shares: [{ pool: 'shop', share: 1 }],
      },
      {
        name: 'none',
        match: { kind: 'call', path: '/none' },
        shares: [{ pool: 'empty', share: 1 }],
      },
      ...passRoutes(['models'], 'shop'),
    ],
    tuning: true,
    budgets: { program: 1000, turn: 16 },
    bounds: { turnMs: 8000, callMs: 2000, queue: 10, perServer: 4 },
    limits: { headerBytes: 16384, bodyBytes: 100000, headerWaitMs: 5000, idleMs: 60000 },
    origin,
  });

const ServerRequestBody = z.object({ id: z.string(), path: z.string().default('') });
const parseRequestBody = (request: ReceivedRequest) =>
  ServerRequestBody.parse(JSON.parse(request.body.toString()));

/**
 * A model server and a service in the product's protocol (docs/backends.md); the last message or the path selects the
 * response.
 */
export const respondAsServer: ServerBehavior = (request, res) => {
  if (request.path === '/load') return res.end('{"busy":0,"draining":false}');
  const sendBody = (status: number, value: unknown): void => {
    res.writeHead(status, ['Content-Type', 'application/json']);
    res.end(JSON.stringify(value));
  };
  if (request.path === '/v1/generate') {
    const { id } = parseRequestBody(request);
    if (request.body.includes('decline')) return sendBody(503, { executed: 'no' });
    res.writeHead(200);
    const first = `${JSON.stringify({ id, n: 0, text: 'a ' })}\n`;
    if (request.body.includes('break')) return res.write(first, () => res.socket?.end());
    res.write(first);
    res.end(
      `${JSON.stringify({ id, n: 1, text: 'b' })}\n${JSON.stringify({ id, end: true, chunks: 2 })}\n`,
    );
    return;
  }
  if (request.path === '/v1/act') {
    const { id, path } = parseRequestBody(request);
    if (path.endsWith('/lose')) return res.destroy();
    if (path.endsWith('/decline')) return sendBody(503, { executed: 'no' });
    return sendBody(path.endsWith('/refuse') ? 418 : 200, { id, result: { did: path } });
  }
  res.writeHead(200, ['X-Request-Id', request.attempt, 'X-Load', '1,0,4']);
  res.end(
    request.path.startsWith('/flow/') ? 'id: 1\ndata: one\n\n' : `did ${request.body.toString()}`,
  );
};
