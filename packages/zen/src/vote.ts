/** A vote for a candidate: this node follows nobody else in its term. Given only once it is on disk. */
import { encodeState, isNewerVersion, versionOf } from '@tillerstair/state';
import { ElectionError } from '@tillerstair/wire';
import type { ElectionStore, PersistentState } from './election-store.js';
import type { Validate, ValidateResponse } from './messages.js';

/**
 * One vote a term, and none in a lower term (docs/zen.md, "One master a term"). `PublishReceiver` checks the same of a
 * publish, since that counts as a vote too: a node that was not asked for its vote votes by accepting a state. Were it
 * checked in one of them only, a node could vote for one candidate here and accept a state of another in the same term.
 */
const requireVoteIsFree = (persisted: PersistentState, candidateId: string, term: number): void => {
  const isTaken = persisted.votedFor !== '' && persisted.votedFor !== candidateId;
  if (term < persisted.term || (term === persisted.term && isTaken))
    throw new ElectionError(
      'stale-term',
      `this node has voted for ${persisted.votedFor} in term ${persisted.term}`,
    );
};

/**
 * Votes for a candidate that this node is joining; resolves once the vote is on disk, with the accepted state if that
 * is ahead of the candidate's (docs/zen.md, "Fence"). Rejects with `not-joining`, `other-cluster` or `stale-term`.
 */
export const grantVote = async (
  electionStore: ElectionStore,
  joiningId: string | undefined,
  { from, term, clusterId, have }: Validate,
): Promise<ValidateResponse> => {
  if (joiningId !== from.id) throw new ElectionError('not-joining', 'this node is not joining you');
  const localClusterId = electionStore.persisted.accepted?.clusterId ?? '';
  if (localClusterId && localClusterId !== clusterId)
    throw new ElectionError('other-cluster', `this is cluster ${localClusterId}`);
  requireVoteIsFree(electionStore.persisted, from.id, term);
  if (term !== electionStore.persisted.term || electionStore.persisted.votedFor !== from.id)
    await electionStore.recordVote(term, from.id);
  else await electionStore.synced();
  const { accepted } = electionStore.persisted;
  const isAhead = accepted !== undefined && isNewerVersion(versionOf(accepted), have);
  return {
    accepted: versionOf(accepted),
    ...(isAhead ? { state: [...encodeState(accepted)] } : {}),
  };
};
