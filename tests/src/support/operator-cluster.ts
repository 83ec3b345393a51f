/** Configurations in the platform's words, and the desk that takes them. */
import type { OperatorResponse } from '@tillerstair/control';
import { OperatorAdapter } from '@tillerstair/platform';
import { World } from '@tillerstair/sim';
import { small } from './world-helpers.js';

export const platformRoute = (name: string, more: object = {}) => ({
  name,
  host: 'a.example',
  pathPrefix: `/${name}/`,
  wayKind: 'streamed',
  deadlineMs: 4000,
  targetMs: 200,
  urgency: 0,
  depot: 'd1',
  tries: 1,
  retained: false,
  retainS: 60,
  pinned: true,
  resumable: true,
  gapTargetMs: 250,
  ...more,
});

export const engine = {
  berths: 32,
  cacheTokens: 994921,
  cacheTokenBytes: 35136,
  linkMbps: 2200000,
  strideTokens: 20,
  models: [{ name: 'm' }],
};

export const platformService = (name: string, more: object = {}) => ({
  name,
  healthPath: '/health',
  connLimit: 240,
  protocol: 'h1',
  tlsMode: false,
  selfDedupes: false,
  ...more,
});

export const platformConfiguration = (edition: number, more: object = {}) => ({
  edition,
  ways: [
    platformRoute('r1'),
    platformRoute('r2', {
      wayKind: 'keyed_once',
      urgency: 3,
      depot: null,
      dispatch: [
        { depot: 'd1', share: 90 },
        { depot: 'd2', share: 10 },
      ],
      retained: true,
    }),
  ],
  depots: [platformService('d1', { engine }), platformService('d2', { selfDedupes: true })],
  intakeLimits: {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerWaitMs: 3000,
    idleCloseMs: 15000,
  },
  ...more,
});

export const jsonText = (v: unknown): string => JSON.stringify(v);

export const startCluster = async (seed: number, sizes = small): Promise<World> => {
  const w = new World(seed, sizes);
  w.start();
  await w.clock.until('a master', () => w.master !== undefined, 12000);
  const all = sizes.controls + sizes.stores + sizes.fronts;
  await w.clock.until('all nodes', () => w.committed?.nodes.size === all, 12000);
  return w;
};

export const operatorClient = (w: World, n?: number) => {
  const node = n === undefined ? w.master?.control : w.of('control')[n]?.control;
  if (!node) throw new Error('no control');
  const desk = new OperatorAdapter((o) => node.operate(o));
  return {
    change: (
      method: 'PUT' | 'PATCH',
      base: number | string,
      body: unknown,
    ): Promise<OperatorResponse> =>
      w.clock.finish(
        method,
        desk.change(method, String(base), typeof body === 'string' ? body : jsonText(body)),
        30000,
      ),
    read: () => w.clock.finish('GET', desk.read(), 30000),
    retire: (method: 'POST' | 'GET', name: string) =>
      w.clock.finish(method, desk.retire(method, name), 30000),
  };
};
