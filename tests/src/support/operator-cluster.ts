/** Configurations in the platform's format, and a client for the platform's operator API on a simulated cluster. */
import type { OperatorResponse } from '@tillerstair/control';
import { OperatorAdapter } from '@tillerstair/platform';
import { World } from '@tillerstair/sim';
import { small } from './world-helpers.js';

export const platformRoute = (name: string, overrides: object = {}) => ({
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
  ...overrides,
});

export const engine = {
  berths: 32,
  cacheTokens: 994921,
  cacheTokenBytes: 35136,
  linkMbps: 2200000,
  strideTokens: 20,
  models: [{ name: 'm' }],
};

export const platformService = (name: string, overrides: object = {}) => ({
  name,
  healthPath: '/health',
  connLimit: 240,
  protocol: 'h1',
  tlsMode: false,
  selfDedupes: false,
  ...overrides,
});

export const platformConfiguration = (edition: number, overrides: object = {}) => ({
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
  ...overrides,
});

export const jsonText = (value: unknown): string => JSON.stringify(value);

export const startCluster = async (seed: number, sizes = small): Promise<World> => {
  const cluster = new World(seed, sizes);
  cluster.start();
  await cluster.clock.until('a master', () => cluster.master !== undefined, 12000);
  const nodeCount = sizes.controls + sizes.stores + sizes.fronts;
  await cluster.clock.until('all nodes', () => cluster.committed?.nodes.size === nodeCount, 12000);
  return cluster;
};

export const operatorClient = (cluster: World, controlIndex?: number) => {
  const node =
    controlIndex === undefined
      ? cluster.master?.control
      : cluster.of('control')[controlIndex]?.control;
  if (!node) throw new Error('the cluster has no such control');
  const adapter = new OperatorAdapter((request) => node.operate(request));
  return {
    change: (
      method: 'PUT' | 'PATCH',
      base: number | string,
      body: unknown,
    ): Promise<OperatorResponse> =>
      cluster.clock.finish(
        method,
        adapter.change(method, String(base), typeof body === 'string' ? body : jsonText(body)),
        30000,
      ),
    read: () => cluster.clock.finish('GET', adapter.read(), 30000),
    retire: (method: 'POST' | 'GET', name: string) =>
      cluster.clock.finish(method, adapter.retire(method, name), 30000),
  };
};
