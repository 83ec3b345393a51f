/** Which blank controls may make a cluster together (docs/zen.md, "Bootstrapping happens once"). */
import { createHash } from 'node:crypto';
import type { Member } from '@tillerstair/state';
import type { PingResponse } from './messages.js';

/** Characters of the digest that names a cluster. */
const clusterIdLength = 16;

/** What one ping round showed to a blank control. */
export interface BootstrapView {
  readonly localMember: Member;
  readonly seeds: readonly string[];
  readonly pingResponses: readonly PingResponse[];
  /** Everyone whom the control has heard of. */
  readonly knownMembers: readonly Member[];
}

/** The members that may bootstrap, sorted by id; none of them with the reason. */
export interface BootstrapClosure {
  readonly members: readonly Member[];
  /** Why there are no members; empty if there are. */
  readonly reason: string;
}

/** Text by which two sets of members can be told to be the same, whatever their order. */
export const membersKey = (members: readonly Member[]): string =>
  members
    .map((member) => `${member.id}@${member.addr}`)
    .sort()
    .join(' ');

/** The id of the cluster that these members bootstrap: a digest of the set. */
export const clusterIdOf = (members: readonly Member[]): string =>
  createHash('sha256').update(membersKey(members)).digest('hex').slice(0, clusterIdLength);

const addressesOf = (members: readonly Member[]): string =>
  members.map((member) => member.addr).join(', ');

const noClosure = (reason: string): BootstrapClosure => ({ members: [], reason });

/** The controls among the local node and those that responded, by id. */
const respondingControls = (view: BootstrapView): ReadonlyMap<string, Member> => {
  const responding = view.pingResponses
    .map((response) => response.from)
    .filter((member) => member.kind === 'control');
  return new Map([view.localMember, ...responding].map((member) => [member.id, member]));
};

/**
 * The closure of a ping round: this control and all that responded, provided that every seed and every control that
 * anyone named has responded, and that none of them knows a cluster.
 */
export const closureOf = (view: BootstrapView): BootstrapClosure => {
  const { localMember, seeds, pingResponses, knownMembers } = view;
  const respondents = pingResponses.map((response) => response.from);
  const responded = new Set([localMember, ...respondents].map((member) => member.addr));
  const silentSeeds = seeds.filter((addr) => !responded.has(addr));
  if (silentSeeds.length > 0) return noClosure(`seeds ${silentSeeds.join(', ')} have not replied`);
  const bootstrapped = pingResponses.find((response) => response.clusterId !== '');
  if (bootstrapped) return noClosure(`${bootstrapped.from.addr} knows a bootstrapped cluster`);
  const members = respondingControls(view);
  const silentControls = [...knownMembers, ...pingResponses.flatMap((response) => response.known)]
    .filter((member) => member.kind === 'control')
    .filter((member) => !members.has(member.id) && !responded.has(member.addr));
  if (silentControls.length > 0)
    return noClosure(`${addressesOf(silentControls)} heard of but silent`);
  return {
    members: [...members.values()].sort((a, b) => (a.id < b.id ? -1 : 1)),
    reason: '',
  };
};
