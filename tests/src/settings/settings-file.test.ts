/** Settings files and flags: invalid settings and their reported places, and the precedence of flags over the file. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  ControlSettings,
  InvalidSettingsError,
  ProxySettings,
  readSettings,
  StoreSettings,
  type Finding,
} from '@tillerstair/settings';

const files = suite('settings files and flags');

const member = {
  addr: '127.0.0.1:7400',
  http: '[::1]:7401',
  zone: 'zone-a',
  data: 'data',
  seeds: ['127.0.0.1:1', '127.0.0.1:2', '127.0.0.1:3'],
};

const withFile = async (text: string, use: (file: string) => void): Promise<void> => {
  const folder = await mkdtemp(join(tmpdir(), 'tillerstair-settings-'));
  try {
    const file = join(folder, 'settings.yaml');
    await writeFile(file, text);
    use(file);
  } finally {
    await rm(folder, { recursive: true });
  }
};

const findingsOf = (read: () => unknown): readonly Finding[] => {
  try {
    read();
    return [];
  } catch (error) {
    if (error instanceof InvalidSettingsError) return error.findings;
    throw error;
  }
};

const noFlags: ReadonlyMap<string, unknown> = new Map();

/** The places of the findings in a control's settings, without the path of the file. */
const placesIn = async (settings: unknown, flags = noFlags): Promise<readonly string[]> => {
  let places: readonly string[] = [];
  await withFile(JSON.stringify(settings), (file) => {
    const findings = findingsOf(() => readSettings(ControlSettings, file, flags));
    places = findings.map(({ place }) => place.replace(`${file} `, '').replace(file, 'file'));
  });
  return places;
};

files('a flag takes precedence over the file, and changes no other setting', () =>
  withFile(
    JSON.stringify({ ...member, slots: 32, bounds: { serveWithin: 9000, failureTimeout: 2000 } }),
    (file) => {
      const flags = new Map([
        ['slots', '16'],
        ['mayBootstrap', 'false'],
        ['bounds.serveWithin', '5000'],
        ['seeds', '10.0.0.1:1,10.0.0.2:2,10.0.0.3:3'],
      ]);
      const { slots, mayBootstrap, bounds, seeds } = readSettings(ControlSettings, file, flags);
      assert.equal([slots, mayBootstrap], [16, false]);
      assert.equal([bounds.serveWithin, bounds.failureTimeout], [5000, 2000]);
      assert.equal(seeds, ['10.0.0.1:1', '10.0.0.2:2', '10.0.0.3:3']);
    },
  ),
);

files('an address must be an IP address and a port', async () => {
  assert.equal(await placesIn(member), []);
  for (const addr of [
    'localhost:7400',
    '10.0.0.1',
    ':7400',
    '10.0.0.1:0',
    '10.0.0.1:65536',
    '10.0.0.1:1.5',
    '10.0.0.1:x',
    '1.2.3:7400',
    7400,
  ])
    assert.equal(await placesIn({ ...member, addr }), ['addr'], String(addr));
  for (const addr of ['10.0.0.1:65535', '[::1]:1', '10.0.0.1:1'])
    assert.equal(await placesIn({ ...member, addr }), [], addr);
});

files('values outside their limits are rejected, each with its place', async () => {
  const invalid = {
    ...member,
    zone: 'Zone A',
    seeds: member.seeds.slice(1),
    slots: 7,
    losses: 8,
    journalLongAt: 65535,
    bounds: { serveWithin: 999, heartbeatInterval: 1.5 },
  };
  assert.equal([...(await placesIn(invalid))].sort(), [
    'bounds.heartbeatInterval',
    'bounds.serveWithin',
    'journalLongAt',
    'losses',
    'seeds',
    'slots',
    'zone',
  ]);
});

files('an unknown setting is rejected, also inside a table', async () => {
  assert.is((await placesIn({ ...member, slot: 8 })).length, 1);
  assert.is((await placesIn({ ...member, bounds: { serveWithins: 9000 } })).length, 1);
});

files('an invalid flag is reported by its name', async () => {
  assert.equal(await placesIn(member, new Map([['slots', 'many']])), ['--slots']);
  assert.equal(await placesIn(member, new Map([['bounds.serveWithin', '1']])), [
    '--bounds.serveWithin',
  ]);
});

files('a file that is not a table, or cannot be read, is rejected', async () => {
  assert.ok((await placesIn([1, 2])).includes('file'));
  assert.ok((await placesIn('text')).includes('file'));
  const flags = new Map(Object.entries({ ...member, seeds: member.seeds.join() }));
  const missing = findingsOf(() => readSettings(StoreSettings, '/nowhere/settings.yaml', flags));
  assert.equal(
    missing.map(({ place }) => place),
    ['/nowhere/settings.yaml'],
  );
});

files('a syntax error is reported with its line, even if all settings are given', () =>
  withFile(`addr: 127.0.0.1:1\nzone: a\nhttp: 127.0.0.1:2\nfeed: "127.0.0.1:3\n`, (file) => {
    const flags = new Map([['feed', '127.0.0.1:3']]);
    const findings = findingsOf(() => readSettings(ProxySettings, file, flags));
    assert.ok(findings.some(({ place }) => /:\d+$/.test(place)));
  }),
);

files.run();
