import { execFile } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, type RequestListener } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { InvalidSettingsError } from '@tillerstair/settings';
import {
  agentSettings,
  controlSettings,
  createPlatformServerList,
  proxySettings,
  readSettings,
  storeSettings,
} from '@tillerstair/platform';
import { RpcError } from '@tillerstair/wire';
import { repositoryRoot } from '../support/repository.js';

const adapter = suite('the adapter: settings and the list of servers');

const text = (more = ''): string => `
nodeName: "vault-gangnam-a-1"
nodeIp: "10.1.0.33"
zone: "gangnam-a"
bind: {}
portRange: [7380, 7395]
seedNodes: ["10.1.0.34:8144", "10.2.0.38:8144"]
firstBoot: true
dataDir: "/data/my-vault"
newField: 3
timeBounds: { contactMs: 3000, drainMs: 3000, graceS: 8, inForceMs: 2000, recoverS: 12, passWindowS: 60 }
${more}`;

const withFile = async <T>(body: string, work: (path: string) => T): Promise<T> => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-settings-'));
  const path = join(dir, 'settings.yaml');
  await writeFile(path, body);
  try {
    return work(path);
  } finally {
    await rm(dir, { recursive: true });
  }
};

adapter('a settings file becomes the env of each program, in ratios to its bounds', () =>
  withFile(text(), (path) => {
    const s = readSettings(path);
    const store = storeSettings(s);
    assert.is(store.addr, '10.1.0.33:7387');
    assert.is(store.name, 'vault-gangnam-a-1');
    assert.is(store.retentionMs, 180000);
    assert.equal(store.bounds, {
      serveWithin: 12000,
      inForceWithin: 2000,
      drainingWithin: 3000,
      heartbeatInterval: 500,
      failureTimeout: 1800,
    });
    assert.equal(store.seeds, ['10.1.0.34:7385', '10.2.0.38:7385', '10.1.0.34:7385']);
    assert.is(controlSettings(s).mayBootstrap, true);
    assert.is(controlSettings(s).losses, 1);
    assert.is(proxySettings(s).asksServers, false);
    assert.is(agentSettings(s).proxy, proxySettings(s).feed);
    const ports = [
      proxySettings(s).addr,
      proxySettings(s).feed,
      proxySettings(s).http,
      agentSettings(s).addr,
      agentSettings(s).http,
      controlSettings(s).addr,
      controlSettings(s).http,
      store.addr,
      store.http,
    ];
    assert.is(new Set(ports).size, ports.length);
    assert.ok(
      ports.every((a) => Number(a.split(':')[1]) >= 7380 && Number(a.split(':')[1]) <= 7395),
    );
  }),
);

adapter(
  'the losses to bear come from what is to be withstood, whichever kind asks for the most',
  async () => {
    for (const [withstand, losses] of [
      ['{ machineLosses: 1, zones: 0, regionLosses: 0 }', 1],
      ['{ machineLosses: 2, zones: 0, regionLosses: 0 }', 2],
      ['{ machineLosses: 0, zones: 1, regionLosses: 0 }', 1],
      ['{ machineLosses: 3, zones: 1 }', 3],
    ] as const)
      await withFile(text(`withstand: ${withstand}`), (path) =>
        assert.is(controlSettings(readSettings(path)).losses, losses),
      );
  },
);

adapter('settings that lack something are found with their place, all together', () =>
  withFile('nodeName: "x"\nzone: 3\nseedNodes: []\n', (path) => {
    try {
      readSettings(path);
      assert.unreachable();
    } catch (e) {
      assert.instance(e, InvalidSettingsError);
      const found =
        e instanceof InvalidSettingsError ? e.findings.map((f) => f.place.split(' ')[1]) : [];
      assert.equal(found.sort(), ['nodeIp', 'portRange', 'seedNodes', 'timeBounds', 'zone']);
    }
  }),
);

const listAt = async <T>(
  serve: RequestListener,
  work: (addr: string) => Promise<T>,
): Promise<T> => {
  const server = createServer(serve);
  await new Promise<void>((done) => server.listen(0, '127.0.0.1', () => done()));
  const at: AddressInfo | string | null = server.address();
  const port = at !== null && typeof at === 'object' ? at.port : 0;
  try {
    return await work(`127.0.0.1:${port}`);
  } finally {
    server.closeAllConnections();
    await new Promise((done) => server.close(done));
  }
};

const entry = (n: number, state = 'accepting') => ({
  serverId: `i-${n}`,
  depot: 'd',
  address: `10.0.0.${n}:80`,
  zone: 'a',
  berths: 6,
  state,
  edition: 'v1',
  coldLeftMs: 0,
});
const outcome = (addr: string): Promise<unknown> =>
  createPlatformServerList(() => addr)
    .read(2000)
    .catch((e: unknown) => (e instanceof RpcError ? 'errorCode' : e));

adapter('the list is read page by page, whole', () =>
  listAt(
    (req, res) => {
      const second = req.url?.includes('pageToken=p%2B2') ?? false;
      res.end(
        JSON.stringify(
          second
            ? { servers: [entry(2, 'winding_down')], nextToken: null }
            : { servers: [entry(1)], nextToken: 'p+2' },
        ),
      );
    },
    async (addr) => {
      assert.equal(await createPlatformServerList(() => addr).read(2000), [
        { id: 'i-1', pool: 'd', url: 'http://10.0.0.1:80', zone: 'a', places: 6, draining: false },
        { id: 'i-2', pool: 'd', url: 'http://10.0.0.2:80', zone: 'a', places: 6, draining: true },
      ]);
    },
  ),
);

adapter(
  'a list that is refused, cut, unreadable or lacks a page is an error, never a short list',
  async () => {
    const first = JSON.stringify({ servers: [entry(1)], nextToken: 'x' });
    const bad: readonly RequestListener[] = [
      (_req, res) => res.writeHead(429).end(),
      (_req, res) => res.end('{"servers":['),
      (_req, res) => res.end(JSON.stringify({ servers: [entry(1)] })),
      (req, res) => (req.url?.includes('pageToken') ? res.writeHead(503).end() : res.end(first)),
      (req, res) => (req.url?.includes('pageToken') ? res.destroy() : res.end(first)),
    ];
    for (const serve of bad) assert.is(await listAt(serve, outcome), 'errorCode');
  },
);

adapter('the bundle is made, and says how it is called', async () => {
  const run = promisify(execFile);
  await run(process.execPath, [join(repositoryRoot, 'platform', 'build.mjs')]);
  const error = await run(process.execPath, [
    join(repositoryRoot, 'target', 'tillerstair.cjs'),
    'nobody',
  ]).then(
    () => 'no error',
    (e: unknown) => String(e),
  );
  assert.match(error, 'usage: tillerstair front-proxy | control-node | front-agent | store-node');
});

adapter.run();
