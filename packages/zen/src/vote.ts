/** A vote for a candidate: a promise to follow nobody else in its term, given only once it is on disk. */
import { flatten, markOf, newer } from '@tillerstair/state';
import { Mishap } from '@tillerstair/wire';
import type { Keep } from './keep.js';
import { Validate, type Promised } from './messages.js';

export const grantVote = async (keep: Keep, joiningId: string | undefined, body: unknown): Promise<Promised> => {
  const v = Validate.parse(body);
  if (joiningId !== v.from.id) throw new Mishap('not-joining', 'this node is not joining you');
  const clusterId = keep.kept.accepted?.clusterId ?? '';
  if (clusterId && clusterId !== v.clusterId) throw new Mishap('other-cluster', `this is cluster ${clusterId}`);
  const { term, promisedTo } = keep.kept;
  if (v.term < term || (v.term === term && promisedTo !== v.from.id && promisedTo !== ''))
    throw new Mishap('stale-term', `term ${term} is promised to ${promisedTo}`);
  if (v.term !== term || promisedTo !== v.from.id) await keep.promise(v.term, v.from.id);
  else await keep.synced();
  const acc = keep.kept.accepted;
  const ahead = acc && newer(markOf(acc), v.have);
  return { accepted: markOf(acc), ...(ahead ? { state: [...flatten(acc)] } : {}) };
};
