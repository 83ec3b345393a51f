/** The initial state of a cluster. */
import { defaultReplication, type Replication } from './replication.js';
import { emptySlots } from './slots.js';
import type { Member, State, VotingConfiguration } from './state.js';

const bootstrapVoters = (members: readonly Member[]): VotingConfiguration => {
  const ids = members.map(({ id }) => id).sort();
  return { current: ids, next: ids };
};

/** The initial state of a cluster with these voting controls; no node has joined yet, including the controls. */
export const bootstrapState = (
  clusterId: string,
  members: readonly Member[],
  slotCount: number,
  replication: Replication = defaultReplication,
): State => ({
  clusterId,
  term: 0,
  version: 1,
  master: '',
  voters: bootstrapVoters(members),
  replication,
  nodes: new Map(),
  votingMembers: new Map(members.map((member) => [member.id, member])),
  retiring: new Map(),
  slots: emptySlots(slotCount),
  config: undefined,
  acceptedChanges: new Map(),
  servers: new Map(),
  weights: new Map(),
});
