/** What the adapter refuses, and what it never does: hand in a change twice, found a second cluster, use a server that drains. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import type { OperatorResponse } from '@tillerstair/control';
import { freePorts } from '@tillerstair/fleet';
import {
  controlSettings,
  createPlatformServerList,
  readSettings,
  storeSettings,
} from '@tillerstair/platform';
import { InvalidSettingsError } from '@tillerstair/settings';
import { RpcError, serveHttp } from '@tillerstair/wire';
import { call } from '../support/interface-calls.js';
import {
  origin,
  startOperatorApi,
  settingsFile,
  withSettingsFile,
} from '../support/platform-adapter.js';

const refusing = suite('what the adapter refuses');

const Origin = z.looseObject({ ways: z.array(z.looseObject({ name: z.string() })) });
const Named = z.array(z.looseObject({ name: z.string() }));
const ProductFile = z.looseObject({ version: z.number(), routes: Named, pools: Named });

refusing('turns are retained only where a route says so', async () => {
  const page = await startOperatorApi(() => ({ status: 200, body: {} }));
  const { ways, ...rest } = Origin.parse(JSON.parse(origin));
  try {
    const unretained = { ...rest, ways: ways.map((way) => ({ ...way, retained: false })) };
    const body = JSON.stringify(unretained);
    await call(page.port, 'PUT', '/configuration', ['If-Match', '5'], body);
    assert.match(page.first().body, '"turnRetentionMs":0');
    assert.not.match(page.first().body, '"turnRetentionMs":61000');
  } finally {
    page.close();
  }
});

refusing(
  'a change whose version or body cannot be read is refused and changes nothing',
  async () => {
    const page = await startOperatorApi(() => ({ status: 200, body: { taken: true } }));
    try {
      for (const [headers, body] of [
        [[], origin],
        [['If-Match', 'x'], origin],
        [['If-Match', '1, 2'], origin],
        [['If-Match', '-1'], origin],
        [['If-Match', '*'], origin],
        [['If-Match', '5'], '{"edition":'],
        [['If-Match', '5'], '{"edition":"7"}'],
      ] as const)
        for (const method of ['PUT', 'PATCH'])
          assert.is(
            (await call(page.port, method, '/configuration', headers, body)).status,
            400,
            `${method} ${headers.join()} ${body}`,
          );
      assert.equal(page.asked, []);
    } finally {
      page.close();
    }
  },
);

const patch = '{"edition":9,"upsert":{"depots":[{"name":"d-9"}]},"remove":{"ways":["r-2"]}}';

/** Sends a patch to a product that answers its preparation like this, and takes whatever is handed in. */
const patched = async (prepared: OperatorResponse) => {
  const page = await startOperatorApi(({ method }) =>
    method === 'POST' ? prepared : { status: 200, body: {} },
  );
  try {
    const heard = await call(page.port, 'PATCH', '/configuration', ['If-Match', '7'], patch);
    return { status: heard.status, asked: page.asked };
  } finally {
    page.close();
  }
};

refusing('a patch is derived from the text that it builds on, and handed in', async () => {
  const text = JSON.stringify({ origin });
  const { status, asked } = await patched({ status: 200, body: { taken: false, text } });
  assert.is(status, 200);
  assert.equal(
    asked.map(({ method, path }) => `${method} ${path}`),
    ['POST /v1/config/prepare', 'PUT /v1/config'],
  );
  const file = ProductFile.parse(JSON.parse(asked[1].body));
  assert.is(file.version, 9);
  assert.equal(
    file.routes.map(({ name }) => name),
    ['r-1', 'r-3', 'r-4'],
  );
  assert.equal(
    file.pools.map(({ name }) => name),
    ['d-1', 'd-2', 'd-9'],
  );
});

refusing('a patch that was taken is acknowledged, and nothing is handed in again', async () => {
  const { status, asked } = await patched({ status: 200, body: { taken: true, version: 9 } });
  assert.equal([status, asked.length], [200, 1]);
});

refusing('a patch that has nothing to build on is refused, and nothing is handed in', async () => {
  for (const [prepared, expected] of [
    [{ status: 404, body: {} }, 412],
    [{ status: 409, body: {} }, 412],
    [{ status: 503, body: {} }, 503],
    [{ status: 200, body: { taken: false, text: '{"base":1}' } }, 409],
  ] as const) {
    const { status, asked } = await patched(prepared);
    assert.equal([status, asked.length], [expected, 1]);
  }
});

refusing('only the first start may found a cluster, and the greatest loss counts', async () => {
  await withSettingsFile(settingsFile, (path) => {
    const control = controlSettings(readSettings(path));
    assert.is(control.mayBootstrap, true);
    assert.is(control.losses, 4);
  });
  await withSettingsFile({ ...settingsFile, firstBoot: false }, (path) =>
    assert.is(controlSettings(readSettings(path)).mayBootstrap, false),
  );
});

refusing('a program that keeps data does not start without a folder', () =>
  withSettingsFile({ ...settingsFile, dataDir: null }, (path) => {
    for (const settingsOf of [controlSettings, storeSettings])
      assert.throws(
        () => settingsOf(readSettings(path)),
        (e: unknown) => e instanceof InvalidSettingsError,
      );
  }),
);

/** Reads the list of servers at a platform that answers like this. */
const listed = async (status: number, state: string) => {
  const [port = 0] = await freePorts(1);
  const entry = { serverId: 'i', depot: 'd', address: '10.0.0.1:80', state };
  const http = await serveHttp(`127.0.0.1:${port}`, (_req, res) => {
    res.writeHead(status).end(JSON.stringify({ servers: [entry], nextToken: null }));
    return Promise.resolve();
  });
  try {
    const servers = await createPlatformServerList(() => `127.0.0.1:${port}`).read(2000);
    return servers.map(({ draining }) => draining);
  } catch (e) {
    return e instanceof RpcError ? e.code : e;
  } finally {
    http.closeAllConnections();
    http.close();
  }
};

refusing(
  'a server is used only while it accepts, whatever other states there will be',
  async () => {
    assert.equal(await listed(200, 'accepting'), [false]);
    for (const state of ['winding_down', 'unheard_of'])
      assert.equal(await listed(200, state), [true]);
  },
);

refusing('a list that is refused is an error, whatever its body says', async () => {
  for (const status of [429, 500, 503])
    assert.is(await listed(status, 'accepting'), 'unavailable', String(status));
});

refusing.run();
