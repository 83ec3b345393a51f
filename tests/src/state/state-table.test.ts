/**
 * The table of a cluster state: invalid tables are refused, and a diff applies only to the state that it starts from.
 */
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
const sample = sampleState(undefined, {
  config,
  acceptedChanges: new Map([[0, '1=abc']]),
  retiring: new Map([['s1', 's1-name']]),
  weights: new Map([['p|a', 0.5]]),
  servers: new Map([
    ['a', { id: 'a', pool: 'p', url: 'u', draining: false, down: false, zone: '', places: 0 }],
  ]),
});

table('a state is unchanged after encoding and decoding', () => {
  assert.equal(decodeState(encodeState(sample)), sample);
});

table('a table without a head is refused', () => {
  const entries = new Map(encodeState(sample));
  entries.delete('head');
  assert.throws(
    () => decodeState(entries),
    (error: unknown) => error instanceof InvalidStateError,
  );
});

table('a table with an unknown section is refused', () => {
  const entries = new Map(encodeState(sample)).set('unknown/1', '1');
  assert.throws(
    () => decodeState(entries),
    (error: unknown) => error instanceof InvalidStateError,
  );
});

table('a diff applies to the state that it starts from and to no other', () => {
  const next = { ...sample, version: 8, master: 'c2', retiring: new Map<string, string>() };
  const diff = diffStates(sample, next);
  assert.equal(applyDiff(sample, diff), next);
  assert.is(applyDiff({ ...sample, version: 6 }, diff), undefined);
  assert.is(applyDiff({ ...sample, term: 1 }, diff), undefined);
});

table('a diff that leaves the configuration as it is keeps its record, others replace it', () => {
  const unchangedConfig = applyDiff(sample, diffStates(sample, { ...sample, version: 8 }));
  assert.is(unchangedConfig?.config, sample.config);
  const changed = { ...sample, version: 8, config: { ...config, version: 2 } };
  assert.equal(applyDiff(sample, diffStates(sample, changed)), changed);
  const removed = { ...sample, version: 8, config: undefined };
  assert.equal(applyDiff(sample, diffStates(sample, removed)), removed);
});

table('a replication whose quorums may not overlap, or exceed its replicas, is refused', () => {
  assert.ok(Replication.safeParse({ replicas: 3, quorum: 2 }).success);
  assert.not(Replication.safeParse({ replicas: 4, quorum: 2 }).success);
  assert.not(Replication.safeParse({ replicas: 3, quorum: 4 }).success);
});

table.run();
