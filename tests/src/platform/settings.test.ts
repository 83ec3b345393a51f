/** Settings of any deployment start a fleet; settings that are read again disturb nothing. */
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

const settings = suite('settings of unseen deployments, and settings read again');

const withFolder = async <T>(work: (dir: string) => Promise<T>): Promise<T> => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-settings-'));
  try {
    return await work(dir);
  } finally {
    await rm(dir, { recursive: true });
  }
};

/** A settings file with figures drawn over the full ranges of its fields, uneven ones among them. */
const drawn = (seed: number): string => {
  const rng = seededRng(seed);
  const between = (least: number, most: number): number => least + rng() * (most - least);
  const uneven = (least: number, most: number): number =>
    rng() < 0.3 ? between(least, most) : Math.round(between(least, most));
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
    firstBoot: rng() < 0.5,
    dataDir: '/data/x',
    intakeLimits: {
      cpuShare: between(0.1, 4),
      coreCount: Math.ceil(between(0, 8)),
      memoryMb: uneven(64, 64000),
      fdLimit: uneven(256, 100000),
    },
    withstand: {
      machineLosses: Math.ceil(between(0, 3)),
      zones: Math.floor(between(0, 2)),
      regionLosses: 0,
    },
    timeBounds: {
      contactMs: uneven(700, 20000),
      drainMs: uneven(301, 20000),
      graceS: uneven(1, 60),
      inForceMs: uneven(150, 20000),
      recoverS: uneven(3, 60),
      passWindowS: uneven(5, 600),
      catchUpS: uneven(1, 30),
      ackWithinMs: uneven(500, 20000),
    },
    cloudApi: {
      address: '10.200.0.100:8142',
      ratePerS: uneven(2, 100),
      lagMaxMs: uneven(50, 3000),
    },
  });
};

const readDrawn = (seed: number): Promise<PlatformSettings> =>
  withFolder(async (dir) => {
    const path = join(dir, 'settings.yaml');
    await writeFile(path, drawn(seed));
    return readSettings(path);
  });

const times = (b: ZenBounds): readonly number[] => [
  b.heartbeatInterval,
  b.failureTimeout,
  b.pingRoundTimeout,
  b.joinTimeout,
  b.publishTimeout,
  b.bootstrapStablePeriod,
  b.replicaReplacementDelay,
  b.readLease,
  b.drainingCommitTimeout,
  b.listReadInterval,
];

settings('times derived from any settings are whole, positive and in order', async () => {
  for (let seed = 1; seed <= 200; seed++) {
    const read = await readDrawn(seed);
    const all = [
      agentSettings(read),
      controlSettings(read),
      proxySettings(read),
      storeSettings(read),
    ];
    for (const daemonSettings of all) {
      const b = zenBounds(daemonSettings.bounds);
      for (const ms of times(b))
        assert.ok(Number.isInteger(ms) && ms > 0, `seed ${seed}: ${JSON.stringify(b)}`);
      assert.ok(
        b.heartbeatInterval * 2 < b.failureTimeout && b.failureTimeout < b.replicaReplacementDelay,
        `seed ${seed}: heartbeat, failure timeout, replacement`,
      );
      assert.ok(
        b.readLease < daemonSettings.bounds.drainingWithin && b.listReadInterval < b.readLease,
        `seed ${seed}: list, lease, drain bound`,
      );
      assert.ok(b.pingRoundTimeout < b.joinTimeout, `seed ${seed}: ping, join`);
    }
  }
});

settings('a fleet with the bounds of any settings serves', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const { bounds: outer } = controlSettings(await readDrawn(seed));
    const w = new World(seed, { controls: 3, stores: 3, fronts: 2, configuredBounds: outer });
    await w.startServing((base) => configText(base), servers);
    const reported = await w.clock.finish('program', w.program(100), 20000);
    assert.is(reported.reported, 'done', `seed ${seed}`);
  }
});

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
    seeds: seeds.map((p) => `127.0.0.1:${p}`),
  };
  await writeFile(file, JSON.stringify(text));
  const child = spawn(process.execPath, [programs.get('control-node') ?? '', '--settings', file], {
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  let log = '';
  child.stderr.on('data', (part) => (log += String(part)));
  await until(
    'live',
    10000,
    async () => (await ask('GET', `http://127.0.0.1:${http}/live`, '', 500)).status === 200,
  );
  return { child, log: () => log, file };
};

settings(
  'SIGHUP reads the settings again: new seeds are used, bad ones are told and change nothing',
  () =>
    withFolder(async (dir) => {
      const [a = 0, aHttp = 0, nobody = 0] = await freePorts(3);
      const { child, log, file } = await startControl(dir, [nobody, nobody, nobody], [a, aHttp]);
      try {
        const ready = async (): Promise<boolean> =>
          (await ask('GET', `http://127.0.0.1:${aHttp}/ready`, '', 500)).status === 200;
        assert.not.ok(await ready());
        await writeFile(file, '{ "addr": 3 }');
        child.kill('SIGHUP');
        await until('findings', 5000, () =>
          Promise.resolve(log().includes('The settings in force stay')),
        );
        assert.match(log(), 'addr');
        const text = {
          addr: `127.0.0.1:${a}`,
          http: `127.0.0.1:${aHttp}`,
          zone: 'a',
          data: join(dir, 'data'),
          seeds: [a, a, a].map((p) => `127.0.0.1:${p}`),
        };
        await writeFile(file, JSON.stringify(text));
        child.kill('SIGHUP');
        await until('read again', 5000, () =>
          Promise.resolve(log().includes('Settings were read again')),
        );
        await until('a cluster of one, found by the new seeds', 20000, ready);
        assert.is(child.exitCode, null);
      } finally {
        child.kill('SIGKILL');
      }
    }),
);

settings('no program ends by SIGHUP, also while it starts', async () => {
  await withFolder(async (dir) => {
    const [a = 0, h = 0] = await freePorts(2);
    const { child } = await startControl(dir, [a, a, a], [a, h]);
    for (let n = 0; n < 5; n++) child.kill('SIGHUP');
    await until(
      'still live',
      5000,
      async () => (await ask('GET', `http://127.0.0.1:${h}/live`, '', 500)).status === 200,
    );
    assert.is(child.exitCode, null);
    assert.is(child.signalCode, null);
    child.kill('SIGKILL');
  });
});

settings('the packages listed for a clean build can be installed', async () => {
  const deploy = await readFile(join(repositoryRoot, 'deploy', 'system.toml'), 'utf8');
  const listed = /^packages = \[([^\]]*)\]$/m.exec(deploy)?.[1];
  assert.type(listed, 'string');
  const names = [...(listed ?? '').matchAll(/"([a-z0-9.+-]+)"/g)].map((m) => m[1]);
  assert.ok(names.includes('nodejs'));
  const tried = spawnSync('apt-get', ['install', '-s', ...names], { encoding: 'utf8' });
  if (tried.error) {
    process.stdout.write('skipped: there is no apt-get on this machine\n');
    return;
  }
  assert.is(tried.status, 0, tried.stderr);
});

settings('a failure that nobody waited for is told and does not end a program', () => {
  const program = `
  import { live } from '@tillerstair/settings';
    const start = async () => {
      setImmediate(() => {
        void Promise.reject(new Error('nobody waits'));
        setImmediate(() => setImmediate(() => process.exit(7)));
      });
      return { stop: async () => undefined };
    };
    await live('a-program', () => ({}), start);
    process.stdin.on('data', () => undefined);
  `;
  const executed = spawnSync(process.execPath, ['--input-type=module', '-e', program], {
    encoding: 'utf8',
    stdio: ['pipe', 'pipe', 'pipe'],
    timeout: 20000,
  });
  assert.is(executed.status, 7);
  assert.match(executed.stderr, 'A failure was not handled: Error: nobody waits');
});

settings.run();
