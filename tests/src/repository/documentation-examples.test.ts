import { spawn } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { configFor, Fleet, seoul, smallSizes, until } from '@tillerstair/fleet';
import { repositoryRoot } from '../support/repository.js';

const docs = suite('the examples in docs/getting-started.md');
const house = { ...seoul, models: 2, services: 1 };
const fleet = new Fleet({
  dir: join(tmpdir(), `tillerstair-docs-${process.pid}`),
  sizes: smallSizes,
  house,
  withRelay: false,
  affinity: true,
  log: 'info',
});

const plain = Object.entries(process.env).filter(([k]) => !['FORCE_COLOR', 'NO_COLOR'].includes(k));

const shell = (script: string, env: ReadonlyMap<string, string>): Promise<string> =>
  new Promise((done) => {
    const child = spawn('bash', ['-c', script], {
      cwd: repositoryRoot,
      env: Object.fromEntries([...plain, ...env]),
    });
    let out = '';
    child.stdout.on('data', (b) => (out += String(b)));
    child.stderr.on('data', (b) => (out += String(b)));
    child.on('close', () => done(out));
  });

docs.before(async () => {
  await fleet.build();
  fleet.start();
  await until(
    'a master',
    30000,
    async () => (await fleet.operator.request('GET', '/v1/status')).status === 200,
  );
  const shape = {
    base: 0,
    turnPools: [house.modelPool],
    callPools: [house.servicePool],
    extraRoutes: 0,
    note: 'first',
  };
  assert.is(
    (await fleet.operator.request('PUT', '/v1/config', configFor(house, shape))).status,
    200,
  );
  await fleet.register();
  await until('fronts', 30000, () => fleet.ready('front'));
});

docs.after(() => fleet.close());

docs('each block gives what stands below it', async () => {
  const text = await readFile(join(repositoryRoot, 'docs', 'getting-started.md'), 'utf8');
  const blocks = [...text.matchAll(/```sh\n([\s\S]*?)```\n```text\n([\s\S]*?)```/g)];
  assert.ok(blocks.length >= 7, `${blocks.length} examples`);
  const [front = '', other = ''] = fleet.fronts;
  const env = new Map([
    ['TILLERCTL_AT', fleet.machinesOf('control')[0]?.http ?? ''],
    ['FRONT', front],
    ['OTHER', other],
  ]);
  for (const [, script = '', expected = ''] of blocks) {
    const out = await shell(script, env);
    const pattern = expected
      .trim()
      .split('…')
      .map((s) => s.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
      .join('[^\\n]*?');
    assert.match(out.trim(), new RegExp(`^${pattern}$`), `${script}gave\n${out}`);
  }
});

docs.run();
