/** A configuration and servers for the test that holds the product's own `/v1` interface. */
import { z } from 'zod';
import { passRoutes } from '@tillerstair/sim';
import type { ReceivedRequest, ServerBehavior } from './http-server.js';

/** A configuration with a route of each kind, in the product's words (docs/operators.md). */
export const configText = (base: number, note = ''): string =>
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
    origin: note,
  });

const ServerRequestBody = z.object({ id: z.string(), path: z.string().default('') });
const parseRequestBody = (asked: ReceivedRequest) =>
  ServerRequestBody.parse(JSON.parse(asked.body.toString()));

/** A model and a service in the product's words (docs/backends.md); the last message or path says what it does. */
export const respondAsServer: ServerBehavior = (asked, res) => {
  if (asked.path === '/load') return res.end('{"busy":0,"draining":false}');
  const json = (status: number, value: unknown): void => {
    res.writeHead(status, ['Content-Type', 'application/json']);
    res.end(JSON.stringify(value));
  };
  if (asked.path === '/v1/generate') {
    const { id } = parseRequestBody(asked);
    if (asked.body.includes('decline')) return json(503, { executed: 'no' });
    res.writeHead(200);
    const first = `${JSON.stringify({ id, n: 0, text: 'a ' })}\n`;
    if (asked.body.includes('break')) return res.write(first, () => res.socket?.end());
    res.write(first);
    res.end(
      `${JSON.stringify({ id, n: 1, text: 'b' })}\n${JSON.stringify({ id, end: true, chunks: 2 })}\n`,
    );
    return;
  }
  if (asked.path === '/v1/act') {
    const { id, path } = parseRequestBody(asked);
    if (path.endsWith('/lose')) return res.destroy();
    if (path.endsWith('/decline')) return json(503, { executed: 'no' });
    return json(path.endsWith('/refuse') ? 418 : 200, { id, result: { did: path } });
  }
  res.writeHead(200, ['X-Request-Id', asked.attempt, 'X-Load', '1,0,4']);
  res.end(
    asked.path.startsWith('/flow/') ? 'id: 1\ndata: one\n\n' : `did ${asked.body.toString()}`,
  );
};
