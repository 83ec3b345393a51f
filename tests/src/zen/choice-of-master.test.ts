/** Which member a node takes for the master after a ping round, and which replies count for nothing. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { elect, type PingResponse } from '@tillerstair/zen';
import { a, b, bootstrapped, c, member, pingResponse } from '../support/zen-fixtures.js';

const choices = suite('the choice of a master');

const self = {
  member: b,
  canWin: true,
  writable: true,
  joinedBefore: false,
  accepted: { term: 0, version: 1 },
  voters: bootstrapped.voters,
};
const chosenBy = (node: Parameters<typeof elect>[0], replies: readonly PingResponse[]): string => {
  const choice = elect(node, replies);
  return choice.kind === 'master' ? `${choice.member.id} ${choice.by}` : 'none';
};

choices('a reported master counts only if it replied to this round itself', () => {
  assert.is(chosenBy(self, [pingResponse(a, { master: c })]), 'a active');
  assert.is(chosenBy(self, [pingResponse(a, { master: c }), pingResponse(c)]), 'c reported');
});

choices('a node does not take itself for master because others still report it', () => {
  const echo = pingResponse(b, { eligible: true });
  assert.is(chosenBy(self, [pingResponse(a, { master: b }), echo]), 'a active');
});

choices('replies of nodes that are not eligible count for nothing', () => {
  const store = member('a0', 'store');
  const eager = pingResponse(store, { eligible: false, canWin: true, master: c });
  assert.is(chosenBy(self, [eager, pingResponse(c)]), 'b active');
  assert.is(chosenBy(self, [pingResponse(a, { eligible: false })]), 'none');
});

choices('too few voters elect nobody', () => {
  assert.is(chosenBy(self, []), 'none');
  assert.is(chosenBy(self, [pingResponse(member('d')), pingResponse(member('e'))]), 'none');
});

choices('the voters that count are those of the newest state that anyone has accepted', () => {
  const later = {
    accepted: { term: 2, version: 9 },
    voters: { current: ['a', 'd', 'e'], next: ['a', 'd', 'e'] },
  };
  assert.is(chosenBy(self, [pingResponse(a, later), pingResponse(c)]), 'none');
  assert.is(
    chosenBy(self, [pingResponse(a, { ...later, accepted: { term: 0, version: 0 } })]),
    'a active',
  );
});

choices('only a member that can win is chosen', () => {
  assert.is(chosenBy(self, [pingResponse(a, { canWin: false })]), 'b active');
  assert.is(chosenBy({ ...self, canWin: false }, [pingResponse(c)]), 'c active');
  const joined = { canWin: false, joinedBefore: true };
  assert.is(chosenBy({ ...self, ...joined }, [pingResponse(c)]), 'c active');
  assert.is(chosenBy(self, [pingResponse(a, joined)]), 'b active');
  assert.is(chosenBy({ ...self, canWin: false }, [pingResponse(a, { canWin: false })]), 'none');
});

choices('a control whose disk takes no writes, and a node of another kind, are no voters', () => {
  const unable = { ...self, canWin: false, writable: false };
  assert.is(chosenBy(unable, [pingResponse(a)]), 'none');
  const front = { ...self, member: member('b', 'front'), canWin: false };
  assert.is(chosenBy(front, [pingResponse(a)]), 'none');
});

choices.run();
