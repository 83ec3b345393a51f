/** The settings that the platform adapter derives for each program, its server list, and its bundle. */
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

const adapter = suite('the platform adapter: settings and the server list');

const settingsText = (moreFields = ''): string => `
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
${moreFields}`;

const withSettingsText = async <T>(text: string, work: (path: string) => T): Promise<T> => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-settings-'));
  const path = join(dir, 'settings.yaml');
  await writeFile(path, text);
  try {
    return work(path);
  } finally {
    await rm(dir, { recursive: true });
  }
};

adapter(
  'a settings file gives the settings of each program, with times in ratio to its bounds',
  () =>
    withSettingsText(settingsText(), (path) => {
      const settings = readSettings(path);
      const store = storeSettings(settings);
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
      assert.is(controlSettings(settings).mayBootstrap, true);
      assert.is(controlSettings(settings).losses, 1);
      assert.is(proxySettings(settings).asksServers, false);
      assert.is(agentSettings(settings).proxy, proxySettings(settings).feed);
      const addresses = [
        proxySettings(settings).addr,
        proxySettings(settings).feed,
        proxySettings(settings).http,
        agentSettings(settings).addr,
        agentSettings(settings).http,
        controlSettings(settings).addr,
        controlSettings(settings).http,
        store.addr,
        store.http,
      ];
      assert.is(new Set(addresses).size, addresses.length);
      assert.ok(
        addresses.every(
          (address) =>
            Number(address.split(':')[1]) >= 7380 && Number(address.split(':')[1]) <= 7395,
        ),
      );
    }),
);

adapter(
  'the number of losses to tolerate is the largest of the configured kinds of loss',
  async () => {
    for (const [withstand, losses] of [
      ['{ machineLosses: 1, zones: 0, regionLosses: 0 }', 1],
      ['{ machineLosses: 2, zones: 0, regionLosses: 0 }', 2],
      ['{ machineLosses: 0, zones: 1, regionLosses: 0 }', 1],
      ['{ machineLosses: 3, zones: 1 }', 3],
    ] as const)
      await withSettingsText(settingsText(`withstand: ${withstand}`), (path) =>
        assert.is(controlSettings(readSettings(path)).losses, losses),
      );
  },
);

adapter('missing and invalid settings are all reported together, each with its place', () =>
  withSettingsText('nodeName: "x"\nzone: 3\nseedNodes: []\n', (path) => {
    try {
      readSettings(path);
      assert.unreachable();
    } catch (error) {
      assert.instance(error, InvalidSettingsError);
      const fields =
        error instanceof InvalidSettingsError
          ? error.findings.map((finding) => finding.place.split(' ')[1])
          : [];
      assert.equal(fields.sort(), ['nodeIp', 'portRange', 'seedNodes', 'timeBounds', 'zone']);
    }
  }),
);

/** Runs `work` with the address of an HTTP server that answers each request with `serve`. */
const withListServer = async <T>(
  serve: RequestListener,
  work: (addr: string) => Promise<T>,
): Promise<T> => {
  const server = createServer(serve);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', () => resolve()));
  const address: AddressInfo | string | null = server.address();
  const port = address !== null && typeof address === 'object' ? address.port : 0;
  try {
    return await work(`127.0.0.1:${port}`);
  } finally {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  }
};

const entry = (number: number, state = 'accepting') => ({
  serverId: `i-${number}`,
  depot: 'd',
  address: `10.0.0.${number}:80`,
  zone: 'a',
  berths: 6,
  state,
  edition: 'v1',
  coldLeftMs: 0,
});
/** The list as it was read, or `errorCode` if reading it failed with an `RpcError`. */
const readList = (addr: string): Promise<unknown> =>
  createPlatformServerList(() => addr)
    .read(2000)
    .catch((error: unknown) => (error instanceof RpcError ? 'errorCode' : error));

adapter('the server list is read completely, page by page', () =>
  withListServer(
    (req, res) => {
      const isSecondPage = req.url?.includes('pageToken=p%2B2') ?? false;
      res.end(
        JSON.stringify(
          isSecondPage
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
  'a server list that is rejected, truncated, invalid or lacks a page is an error, never a short list',
  async () => {
    const first = JSON.stringify({ servers: [entry(1)], nextToken: 'x' });
    const faultyServers: readonly RequestListener[] = [
      (_req, res) => res.writeHead(429).end(),
      (_req, res) => res.end('{"servers":['),
      (_req, res) => res.end(JSON.stringify({ servers: [entry(1)] })),
      (req, res) => (req.url?.includes('pageToken') ? res.writeHead(503).end() : res.end(first)),
      (req, res) => (req.url?.includes('pageToken') ? res.destroy() : res.end(first)),
    ];
    for (const serve of faultyServers)
      assert.is(await withListServer(serve, readList), 'errorCode');
  },
);

adapter('the bundle can be built, and prints its usage for an unknown role', async () => {
  const run = promisify(execFile);
  await run(process.execPath, [join(repositoryRoot, 'platform', 'build.mjs')]);
  const error = await run(process.execPath, [
    join(repositoryRoot, 'target', 'tillerstair.cjs'),
    'nobody',
  ]).then(
    () => 'no error',
    (failure: unknown) => String(failure),
  );
  assert.match(error, 'usage: tillerstair front-proxy | control-node | front-agent | store-node');
});

adapter.run();
