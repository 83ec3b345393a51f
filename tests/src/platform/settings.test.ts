/** Programs start with the settings of any deployment, and reloaded settings do not disturb a running program. */
import { spawn, spawnSync, type ChildProcess } from 'node:child_process';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { ask, freePorts, programs, until } from '@tillerstair/fleet';
import {
  agentSettings,
  controlSettings,
  proxySettings,
  readSettings,
  storeSettings,
  type PlatformSettings,
} from '@tillerstair/platform';
import { seededRng, World } from '@tillerstair/sim';
import { zenBounds, type ZenBounds } from '@tillerstair/zen';
import { configText, servers } from '../support/world-helpers.js';
import { repositoryRoot } from '../support/repository.js';

const settings = suite('settings of arbitrary deployments, and reloaded settings');

const withFolder = async <T>(work: (dir: string) => Promise<T>): Promise<T> => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-settings-'));
  try {
    return await work(dir);
  } finally {
    await rm(dir, { recursive: true });
  }
};

/** A settings file with random values over the full range of each field, some of them fractional. */
const randomSettings = (seed: number): string => {
  const random = seededRng(seed);
  const between = (min: number, max: number): number => min + random() * (max - min);
  const maybeFractional = (min: number, max: number): number =>
    random() < 0.3 ? between(min, max) : Math.round(between(min, max));
  const zones = Math.ceil(between(0, 7));
  const seeds = Array.from(
    { length: Math.ceil(between(0, 3)) },
    (_, i) => `10.${i + 1}.0.${i + 4}:${Math.ceil(between(1024, 60000))}`,
  );
  const firstPort = Math.ceil(between(1024, 65000));
  return JSON.stringify({
    nodeName: `node-${seed}`,
    nodeIp: `10.1.${Math.floor(between(0, 255))}.${Math.ceil(between(1, 254))}`,
    zone: ['gangnam-a', 'Zone_B.1', 'z', 'a-very-long-name-of-a-zone-in-a-far-away-region'][
      Math.floor(between(0, 4))
    ],
    zones: Object.fromEntries(Array.from({ length: zones }, (_, i) => [`zone-${i}`, 'region'])),
    bind: {
      frontAddr: '10.1.0.30:8149',
      readyAddr: '10.1.0.30:8141',
      controlAddr: '10.1.0.30:8144',
    },
    portRange: [firstPort, firstPort + 15],
    seedNodes: seeds,
    firstBoot: random() < 0.5,
    dataDir: '/data/x',
    intakeLimits: {
      cpuShare: between(0.1, 4),
      coreCount: Math.ceil(between(0, 8)),
      memoryMb: maybeFractional(64, 64000),
      fdLimit: maybeFractional(256, 100000),
    },
    withstand: {
      machineLosses: Math.ceil(between(0, 3)),
      zones: Math.floor(between(0, 2)),
      regionLosses: 0,
    },
    timeBounds: {
      contactMs: maybeFractional(700, 20000),
      drainMs: maybeFractional(301, 20000),
      graceS: maybeFractional(1, 60),
      inForceMs: maybeFractional(150, 20000),
      recoverS: maybeFractional(3, 60),
      passWindowS: maybeFractional(5, 600),
      catchUpS: maybeFractional(1, 30),
      ackWithinMs: maybeFractional(500, 20000),
    },
    cloudApi: {
      address: '10.200.0.100:8142',
      ratePerS: maybeFractional(2, 100),
      lagMaxMs: maybeFractional(50, 3000),
    },
  });
};

const readRandomSettings = (seed: number): Promise<PlatformSettings> =>
  withFolder(async (dir) => {
    const path = join(dir, 'settings.yaml');
    await writeFile(path, randomSettings(seed));
    return readSettings(path);
  });

const timesOf = (bounds: ZenBounds): readonly number[] => [
  bounds.heartbeatInterval,
  bounds.failureTimeout,
  bounds.pingRoundTimeout,
  bounds.joinTimeout,
  bounds.publishTimeout,
  bounds.bootstrapStablePeriod,
  bounds.replicaReplacementDelay,
  bounds.readLease,
  bounds.drainingCommitTimeout,
  bounds.listReadInterval,
];

settings('times derived from any settings are whole, positive and in order', async () => {
  for (let seed = 1; seed <= 200; seed++) {
    const platformSettings = await readRandomSettings(seed);
    const allSettings = [
      agentSettings(platformSettings),
      controlSettings(platformSettings),
      proxySettings(platformSettings),
      storeSettings(platformSettings),
    ];
    for (const daemonSettings of allSettings) {
      const derived = zenBounds(daemonSettings.bounds);
      for (const ms of timesOf(derived))
        assert.ok(Number.isInteger(ms) && ms > 0, `seed ${seed}: ${JSON.stringify(derived)}`);
      assert.ok(
        derived.heartbeatInterval * 2 < derived.failureTimeout &&
          derived.failureTimeout < derived.replicaReplacementDelay,
        `seed ${seed}: heartbeat, failure timeout, replacement`,
      );
      assert.ok(
        derived.readLease < daemonSettings.bounds.drainingWithin &&
          derived.listReadInterval < derived.readLease,
        `seed ${seed}: list, lease, drain bound`,
      );
      assert.ok(derived.pingRoundTimeout < derived.joinTimeout, `seed ${seed}: ping, join`);
    }
  }
});

settings('a simulated cluster with the time bounds of any settings serves', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const { bounds: configuredBounds } = controlSettings(await readRandomSettings(seed));
    const world = new World(seed, { controls: 3, stores: 3, fronts: 2, configuredBounds });
    await world.startServing((base) => configText(base), servers);
    const result = await world.clock.finish('program', world.program(100), 20000);
    assert.is(result.reported, 'done', `seed ${seed}`);
  }
});

/** Starts a control-node and resolves once it is live; `seeds` are the ports of its seeds, `ports` its own. */
const startControl = async (
  dir: string,
  seeds: readonly number[],
  ports: readonly [number, number],
): Promise<{ child: ChildProcess; log: () => string; file: string }> => {
  const file = join(dir, 'settings.json');
  const [addr, http] = ports;
  const text = {
    addr: `127.0.0.1:${addr}`,
    http: `127.0.0.1:${http}`,
    zone: 'a',
    data: join(dir, 'data'),
    seeds: seeds.map((port) => `127.0.0.1:${port}`),
  };
  await writeFile(file, JSON.stringify(text));
  const child = spawn(process.execPath, [programs.get('control-node') ?? '', '--settings', file], {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  let log = '';
  child.stderr.on('data', (chunk) => (log += String(chunk)));
  await until(
    'live',
    10000,
    async () => (await ask('GET', `http://127.0.0.1:${http}/live`, '', 500)).status === 200,
  );
  return { child, log: () => log, file };
};

settings(
  'SIGHUP reloads the settings: new seeds are used, invalid settings are reported and ignored',
  () =>
    withFolder(async (dir) => {
      const [port = 0, httpPort = 0, unusedPort = 0] = await freePorts(3);
      const { child, log, file } = await startControl(
        dir,
        [unusedPort, unusedPort, unusedPort],
        [port, httpPort],
      );
      try {
        const isReady = async (): Promise<boolean> =>
          (await ask('GET', `http://127.0.0.1:${httpPort}/ready`, '', 500)).status === 200;
        assert.not.ok(await isReady());
        await writeFile(file, '{ "addr": 3 }');
        child.kill('SIGHUP');
        await until('findings', 5000, () =>
          Promise.resolve(log().includes('The settings in force stay')),
        );
        assert.match(log(), 'addr');
        const text = {
          addr: `127.0.0.1:${port}`,
          http: `127.0.0.1:${httpPort}`,
          zone: 'a',
          data: join(dir, 'data'),
          seeds: [port, port, port].map((seedPort) => `127.0.0.1:${seedPort}`),
        };
        await writeFile(file, JSON.stringify(text));
        child.kill('SIGHUP');
        await until('the settings are reloaded', 5000, () =>
          Promise.resolve(log().includes('Settings were read again')),
        );
        await until('a cluster of one node forms by the new seeds', 20000, isReady);
        assert.is(child.exitCode, null);
      } finally {
        child.kill('SIGKILL');
      }
    }),
);

settings('SIGHUP does not end a program, also while it starts', async () => {
  await withFolder(async (dir) => {
    const [port = 0, httpPort = 0] = await freePorts(2);
    const { child } = await startControl(dir, [port, port, port], [port, httpPort]);
    for (let i = 0; i < 5; i++) child.kill('SIGHUP');
    await until(
      'the control is still live',
      5000,
      async () => (await ask('GET', `http://127.0.0.1:${httpPort}/live`, '', 500)).status === 200,
    );
    assert.is(child.exitCode, null);
    assert.is(child.signalCode, null);
    child.kill('SIGKILL');
  });
});

// Guards against a build that leaves out its own tools where NODE_ENV is "production", as operators set it.
settings('the build of the deploy file installs its tools under NODE_ENV=production', async () => {
  const deploy = await readFile(join(repositoryRoot, 'deploy', 'system.toml'), 'utf8');
  const install = /npm (ci [^;]*);/.exec(deploy)?.[1];
  assert.type(install, 'string');
  const args = ['config', 'get', 'omit', ...(install ?? '').split(' ').slice(1)];
  const env = { ...process.env, NODE_ENV: 'production' };
  const omitted = spawnSync('npm', args, { cwd: repositoryRoot, env, encoding: 'utf8' });
  assert.is(omitted.status, 0, omitted.stderr);
  assert.is(omitted.stdout.trim(), '', 'kinds of dependencies that the installation leaves out');
});

settings('the system packages listed in the deploy file can be installed', async () => {
  const deploy = await readFile(join(repositoryRoot, 'deploy', 'system.toml'), 'utf8');
  const packageList = /^packages = \[([^\]]*)\]$/m.exec(deploy)?.[1];
  assert.type(packageList, 'string');
  const names = [...(packageList ?? '').matchAll(/"([a-z0-9.+-]+)"/g)].map((match) => match[1]);
  assert.ok(names.includes('nodejs'));
  const simulated = spawnSync('apt-get', ['install', '-s', ...names], { encoding: 'utf8' });
  if (simulated.error) {
    process.stdout.write('skipped: there is no apt-get on this machine\n');
    return;
  }
  assert.is(simulated.status, 0, simulated.stderr);
});

settings('an unhandled rejection is logged and does not end a program', () => {
  const program = `
  import { runProgram } from '@tillerstair/settings';
    const start = async () => {
      setImmediate(() => {
        void Promise.reject(new Error('nobody waits'));
        setImmediate(() => setImmediate(() => process.exit(7)));
      });
      return { stop: async () => undefined };
    };
    await runProgram('a-program', () => ({}), start);
    process.stdin.on('data', () => undefined);
  `;
  const result = spawnSync(process.execPath, ['--input-type=module', '-e', program], {
    encoding: 'utf8',
    stdio: ['pipe', 'pipe', 'pipe'],
    timeout: 20000,
  });
  assert.is(result.status, 7);
  assert.match(result.stderr, 'A failure was not handled: Error: nobody waits');
});

settings.run();
