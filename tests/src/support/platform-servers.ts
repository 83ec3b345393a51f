/** A configuration and a server that use the names of the users' platform, for tests of the outer protocol. */
import { passHost } from '@tillerstair/sim';
import type { ReceivedRequest, ServerBehavior } from './http-server.js';
import { headerOf } from './interface-calls.js';

/** Builds a route (`way`) of a configuration; `overrides` replaces or adds fields. */
export const buildWay = (name: string, wayKind: string, depot: string, overrides: object = {}) => ({
  name,
  host: passHost,
  pathPrefix: `/${name}/`,
  wayKind,
  deadlineMs: 4000,
  targetMs: 200,
  urgency: 1,
  depot,
  tries: 2,
  ...overrides,
});

/** Builds a complete configuration with routes of each kind; `overrides` replaces or adds fields. */
export const configuration = (edition: number, overrides: object = {}) => ({
  edition,
  ways: [
    buildWay('again', 'repeatable', 'tools'),
    buildWay('once', 'once_only', 'tools'),
    buildWay('keyed', 'keyed_once', 'tools'),
    buildWay('quick', 'repeatable', 'tools', { deadlineMs: 300 }),
    buildWay('turn', 'streamed', 'engines', { retained: true, retainS: 60, gapTargetMs: 250 }),
    buildWay('live', 'streamed', 'engines', { resumable: true, pinned: true }),
  ],
  depots: [
    {
      name: 'engines',
      healthPath: '/health',
      connLimit: 40,
      protocol: 'h1',
      tlsMode: false,
      selfDedupes: false,
      engine: { berths: 8, cacheTokens: 1000, strideTokens: 10, models: [{ name: 'm' }] },
    },
    { name: 'tools', healthPath: '/health', connLimit: 40, protocol: 'h1', selfDedupes: false },
    { name: 'spares', healthPath: '/health', connLimit: 40 },
  ],
  intakeLimits: {
    maxHeaderBytes: 2000,
    maxBodyBytes: 5000,
    headerWaitMs: 3000,
    idleCloseMs: 15000,
  },
  ...overrides,
});

/** The `Try-Id` header of a request that a server received. */
export const tryIdOf = (request: ReceivedRequest): string => headerOf(request.headers, 'try-id');

/** A server of the platform; the second segment of the path selects its response. */
export const respondByPath: ServerBehavior = (request, res) => {
  const [, , behavior = ''] = request.path.split('/');
  const answer = (status: number, body: string, ...headers: readonly string[]): void => {
    res.writeHead(status, [
      ...['Try-Id', tryIdOf(request)],
      ...(behavior === 'unsealed' ? [] : ['Server-Seal', 'seal.1']),
      ...['Server-Load', '3,0,8'],
      ...headers,
    ]);
    res.end(body);
  };
  if (behavior === 'silent') return;
  if (behavior === 'full') return answer(503, 'full', 'Not-Run', '1');
  if (behavior === 'other') return answer(421, 'not me');
  if (behavior === 'overloaded') return answer(503, 'overloaded');
  if (behavior === 'failed') return answer(500, 'failed here');
  if (['turn', 'live'].includes(request.path.split('/')[1] ?? ''))
    return answer(
      200,
      'id: 1\ndata: one\n\nid: 2\ndata: two\n\n',
      'Content-Type',
      'text/event-stream',
    );
  answer(200, `did ${request.body.toString()}`, 'X-Own', 'kept');
};
