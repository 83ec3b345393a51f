/** The record of accepted configuration changes: the outcomes that it gives, what it drops, and its bound. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import {
  minimumRememberedChanges,
  acceptedChangeOutcome,
  recordAcceptedChange,
  type AcceptedChanges,
} from '@tillerstair/state';

const record = suite('record of accepted changes');

const recordOf = (count: number): AcceptedChanges => {
  let changes: AcceptedChanges = new Map();
  for (let version = 1; version <= count; version++)
    changes = recordAcceptedChange(changes, version, `change ${version}`);
  return changes;
};

record('a version accepted under another change id does not count as accepted', () => {
  const changes = recordOf(2);
  assert.is(acceptedChangeOutcome(changes, 2, 'change 2'), 'accepted');
  assert.is(acceptedChangeOutcome(changes, 2, 'change 1'), 'not-accepted');
  assert.is(acceptedChangeOutcome(changes, 3, 'change 2'), 'not-accepted');
});

record(
  'the outcome of a version older than the record is unknown, that of a newer one is not',
  () => {
    const changes = recordOf(minimumRememberedChanges + 100);
    assert.is(acceptedChangeOutcome(changes, 1, 'change 1'), 'forgotten');
    assert.is(
      acceptedChangeOutcome(changes, minimumRememberedChanges + 101, 'another'),
      'not-accepted',
    );
  },
);

record('while no block was dropped, no outcome is unknown', () => {
  assert.is(acceptedChangeOutcome(new Map(), 1, 'a'), 'not-accepted');
  assert.is(acceptedChangeOutcome(recordAcceptedChange(new Map(), 5, 'a'), 1, 'b'), 'not-accepted');
});

record('the record holds at most 64 blocks of at most 32 changes', () => {
  const changes = recordOf(minimumRememberedChanges + 300);
  assert.ok(changes.size <= 64, `${changes.size} blocks`);
  for (const block of changes.values()) assert.ok(block.split(' ').length <= 32);
  assert.is(acceptedChangeOutcome(changes, 301, 'change 301'), 'accepted');
});

record.run();
