/** Consistency checks of a configuration file, and the place of each finding. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkConfig } from '@tillerstair/state';

const checks = suite('configuration checks');

const model = { name: 'm', kind: 'model' };
const service = { name: 's', kind: 'service' };
const shares = [{ pool: 'm', share: 1 }];
const chat = { name: 'chat', match: { kind: 'turn', path: '/chat' }, shares };
const pass = { manner: 'once', deadlineMs: 1000 };

interface SampleFile {
  readonly base?: number;
  readonly version?: number;
  readonly pools?: readonly object[];
  readonly routes?: readonly object[];
}

const placesOf = (file: SampleFile): readonly string[] => {
  const { config, findings } = checkConfig(
    JSON.stringify({ base: 0, pools: [model, service], routes: [chat], ...file }),
  );
  assert.is(config === undefined, findings.length > 0);
  return findings.map((finding) => finding.place);
};

checks('a consistent file has no findings', () => {
  assert.equal(placesOf({}), []);
  const passing = { name: 'p', match: { kind: 'pass', host: 'h', path: '/p/' }, pass, shares };
  assert.equal(placesOf({ version: 4, routes: [chat, passing] }), []);
});

checks('a version that is not above its base is a finding', () => {
  assert.equal(placesOf({ base: 3, version: 3 }), ['version']);
});

checks('duplicate names, matches and pools are findings', () => {
  assert.equal(placesOf({ pools: [model, model] }), ['pools[1].name']);
  const other = { ...chat, match: { kind: 'turn', path: '/other' } };
  assert.equal(placesOf({ routes: [chat, other] }), ['routes[1].name']);
  assert.equal(placesOf({ routes: [chat, { ...chat, name: 'two' }] }), ['routes[1].match']);
  assert.equal(placesOf({ routes: [{ ...chat, shares: [...shares, ...shares] }] }), [
    'routes[0].shares[1].pool',
  ]);
});

checks(
  'shares of an unknown pool or of one of the wrong kind, and shares that are all 0, are findings',
  () => {
    const expectedPlaces = ['routes[0].shares[0].pool'];
    assert.equal(
      placesOf({ routes: [{ ...chat, shares: [{ pool: 'x', share: 1 }] }] }),
      expectedPlaces,
    );
    assert.equal(
      placesOf({ routes: [{ ...chat, shares: [{ pool: 's', share: 1 }] }] }),
      expectedPlaces,
    );
    const passMatch = { kind: 'pass', host: 'h', path: '/p/' };
    const unknownPool = [{ pool: 'x', share: 1 }];
    assert.equal(
      placesOf({ routes: [{ ...chat, match: passMatch, pass, shares: unknownPool }] }),
      expectedPlaces,
    );
    assert.equal(placesOf({ routes: [{ ...chat, shares: [{ pool: 'm', share: 0 }] }] }), [
      'routes[0].shares',
    ]);
  },
);

checks('pass routes without pass rules, and other routes with them, are findings', () => {
  const match = { kind: 'pass', host: 'h', path: '/p/' };
  assert.equal(placesOf({ routes: [{ ...chat, match }] }), ['routes[0].pass']);
  assert.equal(placesOf({ routes: [{ ...chat, match: { ...match, path: '/p' }, pass }] }), [
    'routes[0].match.path',
  ]);
  assert.equal(placesOf({ routes: [{ ...chat, pass }] }), ['routes[0].match']);
  const hosted = { kind: 'turn', host: 'h', path: '/chat' };
  assert.equal(placesOf({ routes: [{ ...chat, match: hosted }] }), ['routes[0].match']);
});

checks('unknown keys and invalid YAML are findings with a place', () => {
  assert.equal(placesOf({ routes: [{ ...chat, unknown: 1 }] }).length, 1);
  assert.match(checkConfig('a: [').findings[0]?.place ?? '', /^line \d+, column \d+$/);
});

checks.run();
