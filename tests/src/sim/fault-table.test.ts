/** The table of troubles in docs/never-list.md names every kind, and every fault of the storms. */
import { existsSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { faultKinds } from '@tillerstair/sim';
import { repositoryRoot } from '../support/repository.js';

/** Every kind of trouble and the ways in which it comes, copied by hand from the page of kinds; '' is the plain way. */
const kinds: readonly (readonly [string, readonly string[]])[] = [
  ['burst', ['']],
  ['release', ['']],
  ['answer_lost', ['']],
  ['garble', ['', 'extra']],
  ['node_kill', ['', 'power']],
  ['node_freeze', ['']],
  ['roll_term', ['', 'remove', 'busy']],
  ['add_nodes', ['']],
  ['replace_core', ['', 'planned']],
  ['after_ack_kill', ['', 'kill', 'timed', 'taken']],
  ['after_ack_wipe', ['', 'kill', 'timed', 'taken']],
  ['disk_slow', ['']],
  ['core_cut', ['', 'one_way', 'seeds', 'both', 'reset', 'refuse']],
  ['config_change', ['route', 'weights', 'timeout', 'tenant', 'quota', 'idle']],
  ['config_race', ['']],
  [
    'bad_config',
    [
      'cut_short',
      'unknown_service',
      'same_place',
      'no_weight',
      'no_timeout',
      'old_version',
      'same_version',
      'stale_match',
      'shared_key',
    ],
  ],
  ['retire', ['', 'wipe']],
  ['srv_crash', ['', 'dark', 'gone']],
  ['srv_slow', ['']],
  ['srv_grey', ['errors', 'shed', 'busy', 'hang', 'reset', 'mute', 'slow', 'one_zone']],
  ['replace_with_reuse', ['', 'drain', 'dark']],
  ['scale_out', ['']],
  ['scale_in', ['', 'spot']],
  ['node_slow', ['']],
  ['herd_kill', ['', 'power', 'on core', 'taken']],
  ['seed_turnover', ['']],
  ['disk_full', ['']],
  ['disk_stall', ['']],
  ['clock_step', ['', 'back', 'ahead']],
  ['hup', ['']],
  ['reset_conns', ['']],
  ['node_cut', ['', 'servers']],
  ['ack_lost', ['']],
  ['any server', ['across', 'all']],
  ['any machine', ['leader', 'reader', 'seed', 'meet', 'race', 'hard', 'drain']],
  ['closing', ['power_off_all', 'wipe_after_ack', 'kill_all']],
];

/** Faults of the storms beyond the kinds of the page. */
const beyond: ReadonlySet<string> = new Set([
  'kill-proxy',
  'freeze-proxy',
  'kill-agent',
  'lossy',
  'drain-front',
]);
/** Kinds that no fault can bring about, since nothing in the product could notice them. */
const unnoticed: ReadonlySet<string> = new Set([
  'clock_step',
  'clock_step / back',
  'clock_step / ahead',
]);

interface Row {
  readonly kind: string;
  readonly faults: readonly string[];
  readonly tests: readonly string[];
}

const quoted = (cell: string): readonly string[] =>
  [...cell.matchAll(/`([^`]+)`/g)].map(([, name = '']) => name);

const rows = async (): Promise<readonly Row[]> => {
  const text = await readFile(join(repositoryRoot, 'docs', 'never-list.md'), 'utf8');
  const section = text.slice(text.indexOf('## Every kind of trouble'));
  return section.split('\n').flatMap((line) => {
    const [, kind = '', faults = '', tests = ''] = line.split('|').map((cell) => cell.trim());
    return kind === '' || kind === 'kind / way' || kind.startsWith('---')
      ? []
      : [{ kind, faults: quoted(faults), tests: quoted(tests) }];
  });
};

const troubles = suite('the table of troubles');

troubles('has a row for every kind and way, and no other', async () => {
  const wanted = kinds.flatMap(([kind, ways]) =>
    ways.map((way) => (way === '' ? kind : `${kind} / ${way}`)),
  );
  assert.equal((await rows()).map((r) => r.kind).sort(), wanted.sort());
});

troubles('names faults that the storms have, at least one a row', async () => {
  for (const r of await rows()) {
    assert.equal(
      r.faults.filter((f) => !faultKinds.includes(f)),
      [],
      r.kind,
    );
    assert.is(r.faults.length === 0, unnoticed.has(r.kind), r.kind);
  }
});

troubles('names every fault of the storms', async () => {
  const named = new Set((await rows()).flatMap((r) => r.faults));
  assert.equal(faultKinds.filter((f) => !named.has(f)).sort(), [...beyond].sort());
});

troubles('names tests that there are, at least one a row', async () => {
  for (const r of await rows()) {
    assert.ok(r.tests.length > 0, r.kind);
    assert.equal(
      r.tests.filter((t) => !existsSync(join(repositoryRoot, 'tests', 'src', `${t}.test.ts`))),
      [],
      r.kind,
    );
  }
});

troubles.run();
