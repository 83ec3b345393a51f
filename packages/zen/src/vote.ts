/** Granting a vote: this node then follows no other master in that term. The vote is on disk before the reply. */
import { encodeState, isNewerVersion, versionOf } from '@tillerstair/state';
import { ElectionError } from '@tillerstair/wire';
import type { ElectionStore, PersistentState } from './election-store.js';
import type { Validate, ValidateResponse } from './messages.js';

/**
 * Throws `stale-term` for a second vote in a term, or a vote in a lower term (docs/zen.md, "One master a term").
 * `PublishReceiver` makes the same check of a publish, which counts as a vote too: a node whose vote was not requested
 * votes by accepting a state. With the check in only one of them, a node could vote for one candidate here and accept a
 * state of another in the same term.
 */
const requireVoteIsFree = (persisted: PersistentState, candidateId: string, term: number): void => {
  const isTaken = persisted.votedFor !== '' && persisted.votedFor !== candidateId;
  if (term < persisted.term || (term === persisted.term && isTaken))
    throw new ElectionError(
      'stale-term',
      `no vote for ${candidateId} in term ${term}: voted for ${persisted.votedFor} in term ${persisted.term}`,
    );
};

/**
 * Votes for the candidate that this node is joining. Resolves once the vote is on disk, with this node's accepted state
 * if it is newer than the candidate's (docs/zen.md, "Fence"). Rejects with `not-joining`, `other-cluster` or
 * `stale-term`.
 */
export const grantVote = async (
  electionStore: ElectionStore,
  joiningId: string | undefined,
  { from, term, clusterId, have }: Validate,
): Promise<ValidateResponse> => {
  if (joiningId !== from.id)
    throw new ElectionError('not-joining', `this node is not joining ${from.addr}`);
  const localClusterId = electionStore.persisted.accepted?.clusterId ?? '';
  if (localClusterId && localClusterId !== clusterId)
    throw new ElectionError(
      'other-cluster',
      `this node is in cluster ${localClusterId}, not ${clusterId}`,
    );
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
