/**
 * Requests that the platform adapter rejects, and mistakes that it must not make: submit a change twice, bootstrap a
 * second cluster, use a draining server.
 */
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

const rejections = suite('requests that the platform adapter rejects');

const Origin = z.looseObject({ ways: z.array(z.looseObject({ name: z.string() })) });
const NamedItems = z.array(z.looseObject({ name: z.string() }));
const ProductFile = z.looseObject({ version: z.number(), routes: NamedItems, pools: NamedItems });

rejections('turns are retained only on routes with retention enabled', async () => {
  const operatorApi = await startOperatorApi(() => ({ status: 200, body: {} }));
  const { ways, ...rest } = Origin.parse(JSON.parse(origin));
  try {
    const unretained = { ...rest, ways: ways.map((way) => ({ ...way, retained: false })) };
    const body = JSON.stringify(unretained);
    await call(operatorApi.port, 'PUT', '/configuration', ['If-Match', '5'], body);
    assert.match(operatorApi.first().body, '"turnRetentionMs":0');
    assert.not.match(operatorApi.first().body, '"turnRetentionMs":61000');
  } finally {
    operatorApi.close();
  }
});

rejections(
  'a change with an invalid version or body is answered 400 and executes no operation',
  async () => {
    const operatorApi = await startOperatorApi(() => ({ status: 200, body: { taken: true } }));
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
            (await call(operatorApi.port, method, '/configuration', headers, body)).status,
            400,
            `${method} ${headers.join()} ${body}`,
          );
      assert.equal(operatorApi.asked, []);
    } finally {
      operatorApi.close();
    }
  },
);

const patch = '{"edition":9,"upsert":{"depots":[{"name":"d-9"}]},"remove":{"ways":["r-2"]}}';

/** Sends a patch to a product that answers its preparation with `prepared` and accepts any submitted file. */
const sendPatch = async (prepared: OperatorResponse) => {
  const operatorApi = await startOperatorApi(({ method }) =>
    method === 'POST' ? prepared : { status: 200, body: {} },
  );
  try {
    const response = await call(
      operatorApi.port,
      'PATCH',
      '/configuration',
      ['If-Match', '7'],
      patch,
    );
    return { status: response.status, asked: operatorApi.asked };
  } finally {
    operatorApi.close();
  }
};

rejections(
  'a patch is applied to the text of its base version, and the result is submitted',
  async () => {
    const text = JSON.stringify({ origin });
    const { status, asked } = await sendPatch({ status: 200, body: { taken: false, text } });
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
  },
);

rejections(
  'a patch that was already accepted is acknowledged and not submitted again',
  async () => {
    const { status, asked } = await sendPatch({ status: 200, body: { taken: true, version: 9 } });
    assert.equal([status, asked.length], [200, 1]);
  },
);

rejections(
  'a patch without a usable base version is rejected, and nothing is submitted',
  async () => {
    for (const [prepared, expected] of [
      [{ status: 404, body: {} }, 412],
      [{ status: 409, body: {} }, 412],
      [{ status: 503, body: {} }, 503],
      [{ status: 200, body: { taken: false, text: '{"base":1}' } }, 409],
    ] as const) {
      const { status, asked } = await sendPatch(prepared);
      assert.equal([status, asked.length], [expected, 1]);
    }
  },
);

rejections(
  'only the first boot may bootstrap a cluster, and the largest configured loss counts',
  async () => {
    await withSettingsFile(settingsFile, (path) => {
      const control = controlSettings(readSettings(path));
      assert.is(control.mayBootstrap, true);
      assert.is(control.losses, 4);
    });
    await withSettingsFile({ ...settingsFile, firstBoot: false }, (path) =>
      assert.is(controlSettings(readSettings(path)).mayBootstrap, false),
    );
  },
);

rejections('a program that stores data does not start without a data folder', () =>
  withSettingsFile({ ...settingsFile, dataDir: null }, (path) => {
    for (const settingsOf of [controlSettings, storeSettings])
      assert.throws(
        () => settingsOf(readSettings(path)),
        (error: unknown) => error instanceof InvalidSettingsError,
      );
  }),
);

/**
 * Reads a server list of one server from a platform that answers with `status`: the draining flags, or the error code.
 */
const readDrainingFlags = async (status: number, state: string) => {
  const [port = 0] = await freePorts(1);
  const entry = { serverId: 'i', depot: 'd', address: '10.0.0.1:80', state };
  const http = await serveHttp(`127.0.0.1:${port}`, (_req, res) => {
    res.writeHead(status).end(JSON.stringify({ servers: [entry], nextToken: null }));
    return Promise.resolve();
  });
  try {
    const servers = await createPlatformServerList(() => `127.0.0.1:${port}`).read(2000);
    return servers.map(({ draining }) => draining);
  } catch (error) {
    return error instanceof RpcError ? error.code : error;
  } finally {
    http.closeAllConnections();
    http.close();
  }
};

rejections(
  'a server in any state other than accepting, also an unknown one, is draining',
  async () => {
    assert.equal(await readDrainingFlags(200, 'accepting'), [false]);
    for (const state of ['winding_down', 'unheard_of'])
      assert.equal(await readDrainingFlags(200, state), [true]);
  },
);

rejections(
  'a server list with an error status is an error, whatever its body contains',
  async () => {
    for (const status of [429, 500, 503])
      assert.is(await readDrainingFlags(status, 'accepting'), 'unavailable', String(status));
  },
);

rejections.run();
