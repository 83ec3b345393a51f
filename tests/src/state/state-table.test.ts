/** The table of a cluster state: what is refused when it is read, and which state a diff may be applied to. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  InvalidStateError,
  diffStates,
  encodeState,
  applyDiff,
  Replication,
  decodeState,
} from '@tillerstair/state';
import { sampleState } from '../support/sample-state.js';

const table = suite('state table');

const config = { version: 1, text: 't', digest: 'd', compiled: '{}', changeId: '' };
const full = sampleState(undefined, {
  config,
  acceptedChanges: new Map([[0, '1=abc']]),
  retiring: new Map([['s1', 's1-name']]),
  weights: new Map([['p|a', 0.5]]),
  servers: new Map([
    ['a', { id: 'a', pool: 'p', url: 'u', draining: false, down: false, zone: '', places: 0 }],
  ]),
});

table('a state is the same after it was written and read', () => {
  assert.equal(decodeState(encodeState(full)), full);
});

table('a table without a head is refused', () => {
  const flat = new Map(encodeState(full));
  flat.delete('head');
  assert.throws(
    () => decodeState(flat),
    (error: unknown) => error instanceof InvalidStateError,
  );
});

table('a table with an unknown section is refused', () => {
  const flat = new Map(encodeState(full)).set('novel/1', '1');
  assert.throws(
    () => decodeState(flat),
    (error: unknown) => error instanceof InvalidStateError,
  );
});

table('a diff applies to the state that it starts from and to no other', () => {
  const next = { ...full, version: 8, master: 'c2', retiring: new Map<string, string>() };
  const diff = diffStates(full, next);
  assert.equal(applyDiff(full, diff), next);
  assert.is(applyDiff({ ...full, version: 6 }, diff), undefined);
  assert.is(applyDiff({ ...full, term: 1 }, diff), undefined);
});

table('a diff that leaves the configuration as it is keeps its record, others replace it', () => {
  const same = applyDiff(full, diffStates(full, { ...full, version: 8 }));
  assert.is(same?.config, full.config);
  const changed = { ...full, version: 8, config: { ...config, version: 2 } };
  assert.equal(applyDiff(full, diffStates(full, changed)), changed);
  const removed = { ...full, version: 8, config: undefined };
  assert.equal(applyDiff(full, diffStates(full, removed)), removed);
});

table('a replication whose quorums need not meet, or cannot be had, is refused', () => {
  assert.ok(Replication.safeParse({ replicas: 3, quorum: 2 }).success);
  assert.not(Replication.safeParse({ replicas: 4, quorum: 2 }).success);
  assert.not(Replication.safeParse({ replicas: 3, quorum: 4 }).success);
});

table.run();
