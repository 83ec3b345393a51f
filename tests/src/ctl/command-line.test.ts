import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { compareViews, patchConfig } from '@tillerstair/ctl';
import { freePorts, programs, until, ask } from '@tillerstair/fleet';
import { checkConfig } from '@tillerstair/state';

const product = suite('settings, command line and configuration');

const main = (name: string): string => programs.get(name) ?? '';

const run = (args: readonly string[]): Promise<{ code: number; out: string; err: string }> =>
  new Promise((done) => {
    const child = spawn(process.execPath, [...args]);
    let out = '';
    let err = '';
    child.stdout.on('data', (b) => (out += String(b)));
    child.stderr.on('data', (b) => (err += String(b)));
    child.on('close', (code) => done({ code: code ?? -1, out, err }));
  });

product('bad settings end with code 2 and every finding with its place', async () => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-env-'));
  const file = join(dir, 'settings.yaml');
  await writeFile(
    file,
    'addr: somewhere\nhttp: 127.0.0.1:99999\nzone: Zone A\nseeds: [127.0.0.1:1]\ndata: d\nbounds: { heartbeatInterval: 1 }\nspeed: 9\n',
  );
  for (const name of ['control-node', 'store-node']) {
    const r = await run([main(name), '--settings', file, '--log', 'loud']);
    assert.is(r.code, 2);
    for (const place of [
      'settings.yaml addr',
      'settings.yaml http',
      'settings.yaml zone',
      'settings.yaml seeds',
      'settings.yaml bounds.heartbeatInterval',
      '--log',
      'speed',
    ])
      assert.match(r.err, place);
  }
  const bare = await run([main('front-proxy')]);
  assert.is(bare.code, 2);
  assert.match(bare.err, 'feed');
  await rm(dir, { recursive: true });
});

product('every daemon knows --help and --version', async () => {
  for (const name of programs.keys()) {
    const help = await run([main(name), '--help']);
    assert.is(help.code, 0);
    assert.match(help.out, '--settings');
    const v = await run([main(name), '--version']);
    assert.is(v.code, 0);
    assert.match(v.out, '0.1.0');
  }
});

product(
  'a daemon is live before it is ready, locks its folder, and ends cleanly on SIGTERM',
  async () => {
    const dir = await mkdtemp(join(tmpdir(), 'tillerstair-node-'));
    const [a = 0, h = 0, s = 0, h2 = 0] = await freePorts(4);
    const args = (http: number) => [
      main('control-node'),
      '--addr',
      `127.0.0.1:${a}`,
      '--http',
      `127.0.0.1:${http}`,
      '--zone',
      'a',
      '--data',
      dir,
      '--seeds',
      `127.0.0.1:${a},127.0.0.1:${s},127.0.0.1:${s}`,
    ];
    const child = spawn(process.execPath, args(h), { stdio: 'ignore' });
    const over = new Promise<number | null>((done) => child.on('exit', done));
    await until(
      'live',
      10000,
      async () => (await ask('GET', `http://127.0.0.1:${h}/live`, '', 500)).status === 200,
    );
    assert.is((await ask('GET', `http://127.0.0.1:${h}/ready`, '', 500)).status, 503);
    const second = await run(args(h2));
    assert.is(second.code, 3);
    assert.match(second.err, 'in use by process');
    child.kill('SIGTERM');
    assert.is(await over, 0);
    await rm(dir, { recursive: true });
  },
);

product('a configuration is refused whole with all findings and places', () => {
  const bad = checkConfig(
    'base: -1\npools: [{ name: A, kind: model }, { name: shop, kind: service }, { name: shop, kind: service }]\nroutes:\n  - { name: x, match: { kind: turn, path: chat }, shares: [{ pool: none, share: 1 }] }\nextra: 1\n',
  );
  assert.is(bad.config, undefined);
  const places = bad.findings.map((f) => f.place).join(' ');
  for (const p of ['base', 'pools[0].name', 'routes[0].match.path']) assert.match(places, p);
  const deep = checkConfig(
    'base: 0\npools: [{ name: m, kind: model }, { name: shop, kind: service }, { name: shop, kind: service }]\nroutes:\n  - { name: x, match: { kind: turn, path: /chat }, shares: [{ pool: shop, share: 0 }] }\n  - { name: x, match: { kind: turn, path: /chat }, shares: [{ pool: gone, share: 1 }] }\n',
  );
  assert.equal(
    deep.findings.map((f) => f.place).sort(),
    [
      'routes[0].shares',
      'routes[0].shares[0].pool',
      'routes[1].match',
      'routes[1].name',
      'routes[1].shares[0].pool',
      'pools[2].name',
    ].sort(),
  );
  assert.match(checkConfig('base: [').findings[0]?.place ?? '', 'line 1');
});

product('a patch becomes a whole file on its base', () => {
  const text =
    'base: 3\npools:\n  - { name: m, kind: model }\nroutes:\n  - { name: chat, match: { kind: turn, path: /chat }, shares: [{ pool: m, share: 1 }] }\n';
  const next = patchConfig(
    text,
    'routes:\n  more:\n    match: { kind: turn, path: /more }\n    shares: [{ pool: m, share: 2 }]\n  chat:\n    urgent: true\nbudgets: { turn: 50 }\n',
    4,
  );
  const { config, findings } = checkConfig(next);
  assert.equal(findings, []);
  assert.is(config?.base, 4);
  assert.is(config?.routes.length, 2);
  assert.is(config?.routes.find((l) => l.name === 'chat')?.urgent, true);
  assert.is(config?.budgets.turn, 50);
  assert.is(config?.budgets.program, 100000);
});

product('compare names only what differs, and which is newer', () => {
  const nodeView = (version: number, facts: [string, string][]) => ({
    id: 'x',
    kind: 'front',
    term: 3,
    master: 'm',
    applied: { term: 3, version },
    facts,
  });
  const old = nodeView(4, [
    ['slot 1', 'a'],
    ['config', '1'],
    ['own hints', '3'],
  ]);
  const now = nodeView(5, [
    ['slot 1', 'a'],
    ['config', '2'],
    ['server s', 'pool'],
  ]);
  const c = compareViews(old, now);
  assert.is(c.newer, 'b');
  assert.equal(
    c.differences.map((d) => d.fact),
    ['applied', 'config', 'server s'],
  );
  assert.equal(
    compareViews(old, { ...old, id: 'y', facts: old.facts.slice(0, 2) }).differences,
    [],
  );
});

product.run();
