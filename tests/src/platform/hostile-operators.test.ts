/** Crowds at the listeners of controls and stores, and at the pages of all programs. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { until } from '@tillerstair/fleet';
import { call } from '../support/interface-calls.js';
import { outlastCrowds, type CrowdPlan } from '../support/crowd.js';
import {
  intakeLimits,
  startCrowdFixture,
  timeoutMs,
  type CrowdFixture,
} from '../support/crowd-fixture.js';
import { buildWay, configuration } from '../support/platform-servers.js';

const operators = suite('crowds at the listeners of operators and of pages');

let fixture: CrowdFixture;
const messageBytes = 60_000;
/** Ports of the pages of front-proxies and stores, counted from the first port of the range. */
const proxyPagesOffset = 3;
const storePagesOffset = 8;

operators.before.each(async () => {
  fixture = await startCrowdFixture();
});

operators.after.each(() => fixture.close());

const crowdAt = (port: number, message: string, overrides: Partial<CrowdPlan> = {}): CrowdPlan => ({
  port,
  clients: 60,
  rounds: 10,
  message: () => message,
  ...overrides,
});

const change = (method: string, body: string): string =>
  [
    `${method} /configuration HTTP/1.1`,
    'Host: x',
    'If-Match: 5',
    `Content-Length: ${body.length}`,
    '\r\n',
  ].join('\r\n') + body;

const get = (path: string): string => `GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`;

const pipelineOf = (text: string): string => text.repeat(Math.floor(messageBytes / text.length));

/** Asserts that an operator can read the configuration in force. */
const assertConfigurationIsRead = async (): Promise<void> => {
  await until('the configuration is read', timeoutMs, async () => {
    fixture.assertWithinLimits();
    const read = call(fixture.system.ports.control, 'GET', '/configuration');
    return (await read.catch(() => undefined))?.status === 200;
  });
};

// Guards against a body of legal size that takes a hundred times that size once it is parsed (heap).
for (const [title, body] of [
  ['empty objects', `[${'{},'.repeat(2_000_000)}{}]`],
  ['nested lists', `${'['.repeat(3_000_000)}${']'.repeat(3_000_000)}`],
  ['unknown fields', `{"edition":6,${'"a":[],'.repeat(800_000)}"ways":[],"depots":[]}`],
] as const)
  operators(`changes of the configuration that consist of ${title}`, async () => {
    const { control } = fixture.system.ports;
    for (const method of ['PUT', 'PATCH'])
      await outlastCrowds(fixture, [
        crowdAt(control, change(method, body), { clients: 6, rounds: 1, reads: true }),
      ]);
    await assertConfigurationIsRead();
  });

// Guards against answers that pile up for operators that do not read them (memory).
operators('reads of a large configuration whose answers nobody reads', async () => {
  const { control } = fixture.system.ports;
  const { ways } = configuration(6);
  const more = Array.from({ length: 800 }, (_, n) => buildWay(`w${n}`, 'repeatable', 'tools'));
  const large = JSON.stringify(configuration(6, { intakeLimits, ways: [...ways, ...more] }));
  await until('the large configuration is accepted', timeoutMs, async () => {
    const order = call(control, 'PUT', '/configuration', ['If-Match', '5'], large);
    return (await order.catch(() => undefined))?.status === 200;
  });
  await outlastCrowds(fixture, [crowdAt(control, pipelineOf(get('/configuration')))]);
  await assertConfigurationIsRead();
});

// Guards against request after request at each of the other listeners (heap).
operators('pages of fronts and stores whose answers nobody reads', async () => {
  const { firstPort } = fixture.system;
  await outlastCrowds(fixture, [
    crowdAt(firstPort + proxyPagesOffset, pipelineOf(get('/v1/view'))),
    crowdAt(firstPort + storePagesOffset, pipelineOf(get('/v1/view')), { host: '127.0.0.2' }),
  ]);
});

// Guards against a limit that a lone operator meets whose configuration is large.
operators('a lone operator changes to a large configuration', async () => {
  const { ways } = configuration(6);
  const more = Array.from({ length: 3000 }, (_, n) => buildWay(`w${n}`, 'repeatable', 'tools'));
  const large = JSON.stringify(configuration(6, { intakeLimits, ways: [...ways, ...more] }));
  const { control } = fixture.system.ports;
  await until('the large configuration is accepted', timeoutMs, async () => {
    const order = call(control, 'PUT', '/configuration', ['If-Match', '5'], large);
    return (await order.catch(() => undefined))?.status === 200;
  });
  const read = await call(control, 'GET', '/configuration');
  assert.is(read.body.toString(), large);
  await fixture.serveOrdinary(1);
});

operators.run();
