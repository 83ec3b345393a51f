/** The flat table of a cluster state: what is refused when it is read, and which state a diff may be applied to. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { BadState, diffOf, flatten, patch, Replication, unflatten } from '@tillerstair/state';
import { sampleState } from '../support/sample-state.js';

const table = suite('flat table');

const config = { version: 1, text: 't', digest: 'd', compiled: '{}', changeId: '' };
const full = sampleState(undefined, {
  config,
  taken: new Map([[0, '1=abc']]),
  retiring: new Map([['s1', 's1-name']]),
  weights: new Map([['p|a', 0.5]]),
  servers: new Map([
    ['a', { id: 'a', pool: 'p', url: 'u', draining: false, down: false, zone: '', places: 0 }],
  ]),
});

table('a state is the same after it was written and read', () => {
  assert.equal(unflatten(flatten(full)), full);
});

table('a table without a head is refused', () => {
  const flat = new Map(flatten(full));
  flat.delete('head');
  assert.throws(
    () => unflatten(flat),
    (error: unknown) => error instanceof BadState,
  );
});

table('a table with an unknown section is refused', () => {
  const flat = new Map(flatten(full)).set('novel/1', '1');
  assert.throws(
    () => unflatten(flat),
    (error: unknown) => error instanceof BadState,
  );
});

table('a diff applies to the state that it starts from and to no other', () => {
  const next = { ...full, version: 8, master: 'c2', retiring: new Map<string, string>() };
  const diff = diffOf(full, next);
  assert.equal(patch(full, diff), next);
  assert.is(patch({ ...full, version: 6 }, diff), undefined);
  assert.is(patch({ ...full, term: 1 }, diff), undefined);
});

table('a diff that leaves the configuration as it is keeps its record, others replace it', () => {
  const same = patch(full, diffOf(full, { ...full, version: 8 }));
  assert.is(same?.config, full.config);
  const changed = { ...full, version: 8, config: { ...config, version: 2 } };
  assert.equal(patch(full, diffOf(full, changed)), changed);
  const removed = { ...full, version: 8, config: undefined };
  assert.equal(patch(full, diffOf(full, removed)), removed);
});

table('a replication whose quorums need not meet, or cannot be had, is refused', () => {
  assert.ok(Replication.safeParse({ replicas: 3, quorum: 2 }).success);
  assert.not(Replication.safeParse({ replicas: 4, quorum: 2 }).success);
  assert.not(Replication.safeParse({ replicas: 3, quorum: 4 }).success);
});

table.run();
