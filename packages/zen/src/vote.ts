/** A vote for a candidate: a promise to follow nobody else in its term, given only once it is on disk. */
import { encodeState, versionOf, isNewerVersion } from '@tillerstair/state';
import { ElectionError } from '@tillerstair/wire';
import type { ElectionStore } from './election-store.js';
import { Validate, type ValidateResponse } from './messages.js';

export const grantVote = async (
  electionStore: ElectionStore,
  joiningId: string | undefined,
  body: unknown,
): Promise<ValidateResponse> => {
  const v = Validate.parse(body);
  if (joiningId !== v.from.id)
    throw new ElectionError('not-joining', 'this node is not joining you');
  const clusterId = electionStore.persisted.accepted?.clusterId ?? '';
  if (clusterId && clusterId !== v.clusterId)
    throw new ElectionError('other-cluster', `this is cluster ${clusterId}`);
  const { term, votedFor } = electionStore.persisted;
  if (v.term < term || (v.term === term && votedFor !== v.from.id && votedFor !== ''))
    throw new ElectionError('stale-term', `term ${term} is promised to ${votedFor}`);
  if (v.term !== term || votedFor !== v.from.id) await electionStore.recordVote(v.term, v.from.id);
  else await electionStore.synced();
  const acc = electionStore.persisted.accepted;
  const ahead = acc && isNewerVersion(versionOf(acc), v.have);
  return { accepted: versionOf(acc), ...(ahead ? { state: [...encodeState(acc)] } : {}) };
};
