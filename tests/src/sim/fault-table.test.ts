/** The table of failures in docs/never-list.md must list every kind of failure and every fault of the storms. */
import { existsSync } from 'node:fs';
import { readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { faultKinds } from '@tillerstair/sim';
import { repositoryRoot } from '../support/repository.js';

/** Every kind of failure and its variants, copied by hand from the page of kinds; '' is the kind without a variant. */
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

/** Faults of the storms that belong to no kind of the page. */
const otherFaults: ReadonlySet<string> = new Set([
  'kill-proxy',
  'freeze-proxy',
  'kill-agent',
  'lossy',
  'drain-front',
]);
/** Kinds without a fault: nothing in the product could notice them. */
const withoutFault: ReadonlySet<string> = new Set([
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

const faultTable = suite('the table of failures');

faultTable('has a row for every kind and variant, and no other row', async () => {
  const expected = kinds.flatMap(([kind, ways]) =>
    ways.map((way) => (way === '' ? kind : `${kind} / ${way}`)),
  );
  assert.equal((await rows()).map((row) => row.kind).sort(), expected.sort());
});

faultTable('names only existing faults of the storms, at least one per row', async () => {
  for (const row of await rows()) {
    assert.equal(
      row.faults.filter((fault) => !faultKinds.includes(fault)),
      [],
      row.kind,
    );
    assert.is(row.faults.length === 0, withoutFault.has(row.kind), row.kind);
  }
});

faultTable('names every fault of the storms', async () => {
  const namedFaults = new Set((await rows()).flatMap((row) => row.faults));
  assert.equal(
    faultKinds.filter((fault) => !namedFaults.has(fault)).sort(),
    [...otherFaults].sort(),
  );
});

faultTable('names only existing tests, at least one per row', async () => {
  for (const row of await rows()) {
    assert.ok(row.tests.length > 0, row.kind);
    assert.equal(
      row.tests.filter(
        (test) => !existsSync(join(repositoryRoot, 'tests', 'src', `${test}.test.ts`)),
      ),
      [],
      row.kind,
    );
  }
});

faultTable.run();
