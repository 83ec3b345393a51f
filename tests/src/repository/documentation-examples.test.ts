/** Runs the examples of docs/getting-started.md on a fleet and compares their output with the page. */
import { spawn } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { configFor, Fleet, seoul, smallSizes, until } from '@tillerstair/fleet';
import { repositoryRoot } from '../support/repository.js';

const docs = suite('the examples in docs/getting-started.md');
const deployment = { ...seoul, models: 2, services: 1 };
const fleet = new Fleet({
  dir: join(tmpdir(), `tillerstair-docs-${process.pid}`),
  sizes: smallSizes,
  house: deployment,
  withRelay: false,
  affinity: true,
  log: 'info',
});

const environment = Object.entries(process.env).filter(
  ([name]) => !['FORCE_COLOR', 'NO_COLOR'].includes(name),
);

/** Runs a shell script in the repository's root; resolves with its standard output and error together. */
const runScript = (script: string, env: ReadonlyMap<string, string>): Promise<string> =>
  new Promise((resolve) => {
    const child = spawn('bash', ['-c', script], {
      cwd: repositoryRoot,
      env: Object.fromEntries([...environment, ...env]),
    });
    let output = '';
    child.stdout.on('data', (chunk) => (output += String(chunk)));
    child.stderr.on('data', (chunk) => (output += String(chunk)));
    child.on('close', () => resolve(output));
  });

docs.before(async () => {
  await fleet.build();
  fleet.start();
  await until(
    'a master is elected',
    30000,
    async () => (await fleet.operator.request('GET', '/v1/status')).status === 200,
  );
  const configShape = {
    base: 0,
    turnPools: [deployment.modelPool],
    callPools: [deployment.servicePool],
    extraRoutes: 0,
    note: 'first',
  };
  assert.is(
    (await fleet.operator.request('PUT', '/v1/config', configFor(deployment, configShape))).status,
    200,
  );
  await fleet.register();
  await until('fronts', 30000, () => fleet.ready('front'));
});

docs.after(() => fleet.close());

docs('each shell example prints the output that the page shows', async () => {
  const text = await readFile(join(repositoryRoot, 'docs', 'getting-started.md'), 'utf8');
  const examples = [...text.matchAll(/```sh\n([\s\S]*?)```\n```text\n([\s\S]*?)```/g)];
  assert.ok(examples.length >= 7, `${examples.length} examples`);
  const [front = '', other = ''] = fleet.fronts;
  const env = new Map([
    ['TILLERCTL_AT', fleet.machinesOf('control')[0]?.http ?? ''],
    ['FRONT', front],
    ['OTHER', other],
  ]);
  for (const [, script = '', expected = ''] of examples) {
    const output = await runScript(script, env);
    const pattern = expected
      .trim()
      .split('…')
      .map((literal) => literal.replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
      .join('[^\\n]*?');
    assert.match(output.trim(), new RegExp(`^${pattern}$`), `${script}printed\n${output}`);
  }
});

docs.run();
