/**
 * Settings and command lines of the daemons, configuration checks, and the patch and compare functions of `tillerctl`.
 */
import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { compareViews, patchConfig } from '@tillerstair/ctl';
import { freePorts, programs, until, ask } from '@tillerstair/fleet';
import { checkConfig } from '@tillerstair/state';

const commandLine = suite('settings, command line and configuration');

const programPath = (name: string): string => programs.get(name) ?? '';

/** Runs Node with the given arguments; resolves with the exit code and both outputs. */
const run = (args: readonly string[]): Promise<{ code: number; out: string; err: string }> =>
  new Promise((resolve) => {
    const child = spawn(process.execPath, [...args]);
    let out = '';
    let err = '';
    child.stdout.on('data', (chunk) => (out += String(chunk)));
    child.stderr.on('data', (chunk) => (err += String(chunk)));
    child.on('close', (code) => resolve({ code: code ?? -1, out, err }));
  });

commandLine(
  'a daemon with invalid settings exits with code 2 and reports all findings',
  async () => {
    const dir = await mkdtemp(join(tmpdir(), 'tillerstair-env-'));
    const file = join(dir, 'settings.yaml');
    await writeFile(
      file,
      'addr: somewhere\nhttp: 127.0.0.1:99999\nzone: Zone A\nseeds: [127.0.0.1:1]\ndata: d\nbounds: { heartbeatInterval: 1 }\nspeed: 9\n',
    );
    for (const name of ['control-node', 'store-node']) {
      const result = await run([programPath(name), '--settings', file, '--log', 'loud']);
      assert.is(result.code, 2);
      for (const place of [
        'settings.yaml addr',
        'settings.yaml http',
        'settings.yaml zone',
        'settings.yaml seeds',
        'settings.yaml bounds.heartbeatInterval',
        '--log',
        'speed',
      ])
        assert.match(result.err, place);
    }
    const withoutSettings = await run([programPath('front-proxy')]);
    assert.is(withoutSettings.code, 2);
    assert.match(withoutSettings.err, 'feed');
    await rm(dir, { recursive: true });
  },
);

commandLine('every daemon supports --help and --version', async () => {
  for (const name of programs.keys()) {
    const help = await run([programPath(name), '--help']);
    assert.is(help.code, 0);
    assert.match(help.out, '--settings');
    const version = await run([programPath(name), '--version']);
    assert.is(version.code, 0);
    assert.match(version.out, '0.1.0');
  }
});

commandLine(
  'a daemon is live before it is ready, locks its data folder, and exits with code 0 on SIGTERM',
  async () => {
    const dir = await mkdtemp(join(tmpdir(), 'tillerstair-node-'));
    const [port = 0, httpPort = 0, seedPort = 0, secondHttpPort = 0] = await freePorts(4);
    const argumentsFor = (http: number) => [
      programPath('control-node'),
      '--addr',
      `127.0.0.1:${port}`,
      '--http',
      `127.0.0.1:${http}`,
      '--zone',
      'a',
      '--data',
      dir,
      '--seeds',
      `127.0.0.1:${port},127.0.0.1:${seedPort},127.0.0.1:${seedPort}`,
    ];
    const child = spawn(process.execPath, argumentsFor(httpPort), { stdio: 'ignore' });
    const exitCode = new Promise<number | null>((resolve) => child.on('exit', resolve));
    await until(
      'live',
      10000,
      async () => (await ask('GET', `http://127.0.0.1:${httpPort}/live`, '', 500)).status === 200,
    );
    assert.is((await ask('GET', `http://127.0.0.1:${httpPort}/ready`, '', 500)).status, 503);
    const second = await run(argumentsFor(secondHttpPort));
    assert.is(second.code, 3);
    assert.match(second.err, 'in use by process');
    child.kill('SIGTERM');
    assert.is(await exitCode, 0);
    await rm(dir, { recursive: true });
  },
);

commandLine('an invalid configuration is rejected with all findings and their places', () => {
  const schemaErrors = checkConfig(
    'base: -1\npools: [{ name: A, kind: model }, { name: shop, kind: service }, { name: shop, kind: service }]\nroutes:\n  - { name: x, match: { kind: turn, path: chat }, shares: [{ pool: none, share: 1 }] }\nextra: 1\n',
  );
  assert.is(schemaErrors.config, undefined);
  const places = schemaErrors.findings.map((finding) => finding.place).join(' ');
  for (const place of ['base', 'pools[0].name', 'routes[0].match.path'])
    assert.match(places, place);
  const semanticErrors = checkConfig(
    'base: 0\npools: [{ name: m, kind: model }, { name: shop, kind: service }, { name: shop, kind: service }]\nroutes:\n  - { name: x, match: { kind: turn, path: /chat }, shares: [{ pool: shop, share: 0 }] }\n  - { name: x, match: { kind: turn, path: /chat }, shares: [{ pool: gone, share: 1 }] }\n',
  );
  assert.equal(
    semanticErrors.findings.map((finding) => finding.place).sort(),
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

commandLine('a patch merged into a file gives a complete file with the given base', () => {
  const text =
    'base: 3\npools:\n  - { name: m, kind: model }\nroutes:\n  - { name: chat, match: { kind: turn, path: /chat }, shares: [{ pool: m, share: 1 }] }\n';
  const patched = patchConfig(
    text,
    'routes:\n  more:\n    match: { kind: turn, path: /more }\n    shares: [{ pool: m, share: 2 }]\n  chat:\n    urgent: true\nbudgets: { turn: 50 }\n',
    4,
  );
  const { config, findings } = checkConfig(patched);
  assert.equal(findings, []);
  assert.is(config?.base, 4);
  assert.is(config?.routes.length, 2);
  assert.is(config?.routes.find((route) => route.name === 'chat')?.urgent, true);
  assert.is(config?.budgets.turn, 50);
  assert.is(config?.budgets.program, 100000);
});

commandLine('comparing two views reports only the differences, and which view is newer', () => {
  const nodeView = (version: number, facts: [string, string][]) => ({
    id: 'x',
    kind: 'front',
    term: 3,
    master: 'm',
    applied: { term: 3, version },
    facts,
  });
  const older = nodeView(4, [
    ['slot 1', 'a'],
    ['config', '1'],
    ['own hints', '3'],
  ]);
  const newer = nodeView(5, [
    ['slot 1', 'a'],
    ['config', '2'],
    ['server s', 'pool'],
  ]);
  const comparison = compareViews(older, newer);
  assert.is(comparison.newer, 'b');
  assert.equal(
    comparison.differences.map((difference) => difference.fact),
    ['applied', 'config', 'server s'],
  );
  assert.equal(
    compareViews(older, { ...older, id: 'y', facts: older.facts.slice(0, 2) }).differences,
    [],
  );
});

commandLine.run();
