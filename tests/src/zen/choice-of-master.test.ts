/** Which member a node chooses as master after a ping round, and which replies it ignores. */
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

choices('a node does not choose itself because others still report it as master', () => {
  const ownReply = pingResponse(b, { eligible: true });
  assert.is(chosenBy(self, [pingResponse(a, { master: b }), ownReply]), 'a active');
});

choices('replies of nodes that are not eligible are ignored', () => {
  const store = member('a0', 'store');
  const ineligible = pingResponse(store, { eligible: false, canWin: true, master: c });
  assert.is(chosenBy(self, [ineligible, pingResponse(c)]), 'b active');
  assert.is(chosenBy(self, [pingResponse(a, { eligible: false })]), 'none');
});

choices('no master is chosen without a majority of the voters', () => {
  assert.is(chosenBy(self, []), 'none');
  assert.is(chosenBy(self, [pingResponse(member('d')), pingResponse(member('e'))]), 'none');
});

choices(
  'the voters are those of the newest state that this node or a respondent has accepted',
  () => {
    const later = {
      accepted: { term: 2, version: 9 },
      voters: { current: ['a', 'd', 'e'], next: ['a', 'd', 'e'] },
    };
    assert.is(chosenBy(self, [pingResponse(a, later), pingResponse(c)]), 'none');
    assert.is(
      chosenBy(self, [pingResponse(a, { ...later, accepted: { term: 0, version: 0 } })]),
      'a active',
    );
  },
);

choices('only a member that can win is chosen', () => {
  assert.is(chosenBy(self, [pingResponse(a, { canWin: false })]), 'b active');
  assert.is(chosenBy({ ...self, canWin: false }, [pingResponse(c)]), 'c active');
  const joined = { canWin: false, joinedBefore: true };
  assert.is(chosenBy({ ...self, ...joined }, [pingResponse(c)]), 'c active');
  assert.is(chosenBy(self, [pingResponse(a, joined)]), 'b active');
  assert.is(chosenBy({ ...self, canWin: false }, [pingResponse(a, { canWin: false })]), 'none');
});

choices('an unwritable control, and a node of another kind, do not count as voters', () => {
  const unwritable = { ...self, canWin: false, writable: false };
  assert.is(chosenBy(unwritable, [pingResponse(a)]), 'none');
  const front = { ...self, member: member('b', 'front'), canWin: false };
  assert.is(chosenBy(front, [pingResponse(a)]), 'none');
});

choices.run();
