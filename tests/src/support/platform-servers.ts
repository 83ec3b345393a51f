/** A configuration and servers in the words of the users' platform, for the test that holds its names. */
import { passHost } from '@tillerstair/sim';
import type { ReceivedRequest, ServerBehavior } from './http-server.js';
import { headerOf } from './interface-calls.js';

/** A route of a configuration. */
export const way = (name: string, wayKind: string, depot: string, more: object = {}) => ({
  name,
  host: passHost,
  pathPrefix: `/${name}/`,
  wayKind,
  deadlineMs: 4000,
  targetMs: 200,
  urgency: 1,
  depot,
  tries: 2,
  ...more,
});

/** A whole configuration with a route of each kind. */
export const configuration = (edition: number, more: object = {}) => ({
  edition,
  ways: [
    way('again', 'repeatable', 'tools'),
    way('once', 'once_only', 'tools'),
    way('keyed', 'keyed_once', 'tools'),
    way('quick', 'repeatable', 'tools', { deadlineMs: 300 }),
    way('turn', 'streamed', 'engines', { retained: true, retainS: 60, gapTargetMs: 250 }),
    way('live', 'streamed', 'engines', { resumable: true, pinned: true }),
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
  ...more,
});

/** The id of a client's try, as a server sees it. */
export const tryOf = (asked: ReceivedRequest): string => headerOf(asked.headers, 'try-id');

/** A server in the platform's words; the last part of the path says what it does. */
export const play: ServerBehavior = (asked, res) => {
  const [, , deed = ''] = asked.path.split('/');
  const answer = (status: number, body: string, ...more: readonly string[]): void => {
    res.writeHead(status, [
      ...['Try-Id', tryOf(asked)],
      ...(deed === 'unsealed' ? [] : ['Server-Seal', 'seal.1']),
      ...['Server-Load', '3,0,8'],
      ...more,
    ]);
    res.end(body);
  };
  if (deed === 'silent') return;
  if (deed === 'full') return answer(503, 'full', 'Not-Run', '1');
  if (deed === 'other') return answer(421, 'not me');
  if (deed === 'overloaded') return answer(503, 'overloaded');
  if (deed === 'failed') return answer(500, 'failed here');
  if (['turn', 'live'].includes(asked.path.split('/')[1] ?? ''))
    return answer(
      200,
      'id: 1\ndata: one\n\nid: 2\ndata: two\n\n',
      'Content-Type',
      'text/event-stream',
    );
  answer(200, `did ${asked.body.toString()}`, 'X-Own', 'kept');
};
