/** Which blank controls may bootstrap a cluster together (docs/zen.md, "Bootstrapping happens once"). */
import { createHash } from 'node:crypto';
import type { Member } from '@tillerstair/state';
import type { PingResponse } from './messages.js';

/** Length of a cluster id, in hexadecimal digits of the digest. */
const clusterIdLength = 16;

/** Result of one ping round of a blank control. */
export interface BootstrapView {
  readonly localMember: Member;
  readonly seeds: readonly string[];
  readonly pingResponses: readonly PingResponse[];
  /** All members that the control knows of, from this round or earlier ones. */
  readonly knownMembers: readonly Member[];
}

/** Members that may bootstrap a cluster together, or the reason why none may. */
export interface BootstrapClosure {
  /** Sorted by id; empty if no bootstrap is allowed. */
  readonly members: readonly Member[];
  /** Why `members` is empty; empty string otherwise. */
  readonly reason: string;
}

/** Key that is equal for two lists of members with the same ids and addresses, in any order. */
export const membersKey = (members: readonly Member[]): string =>
  members
    .map((member) => `${member.id}@${member.addr}`)
    .sort()
    .join(' ');

/** Id of the cluster that these members bootstrap: a digest of `membersKey`. */
export const clusterIdOf = (members: readonly Member[]): string =>
  createHash('sha256').update(membersKey(members)).digest('hex').slice(0, clusterIdLength);

const addressesOf = (members: readonly Member[]): string =>
  members.map((member) => member.addr).join(', ');

const noClosure = (reason: string): BootstrapClosure => ({ members: [], reason });

/** The local node and the controls that responded, by id. */
const respondingControls = (view: BootstrapView): ReadonlyMap<string, Member> => {
  const responding = view.pingResponses
    .map((response) => response.from)
    .filter((member) => member.kind === 'control');
  return new Map([view.localMember, ...responding].map((member) => [member.id, member]));
};

/**
 * The closure of a ping round: this control and every control that responded. It is empty unless every seed and every
 * control known to this control or named in a response has responded, and no respondent belongs to a cluster.
 */
export const closureOf = (view: BootstrapView): BootstrapClosure => {
  const { localMember, seeds, pingResponses, knownMembers } = view;
  const respondents = pingResponses.map((response) => response.from);
  const responded = new Set([localMember, ...respondents].map((member) => member.addr));
  const silentSeeds = seeds.filter((addr) => !responded.has(addr));
  if (silentSeeds.length > 0) return noClosure(`no reply from seeds ${silentSeeds.join(', ')}`);
  const bootstrapped = pingResponses.find((response) => response.clusterId !== '');
  if (bootstrapped)
    return noClosure(`${bootstrapped.from.addr} belongs to cluster ${bootstrapped.clusterId}`);
  const members = respondingControls(view);
  const silentControls = [...knownMembers, ...pingResponses.flatMap((response) => response.known)]
    .filter((member) => member.kind === 'control')
    .filter((member) => !members.has(member.id) && !responded.has(member.addr));
  if (silentControls.length > 0)
    return noClosure(`no reply from known controls ${addressesOf(silentControls)}`);
  return {
    members: [...members.values()].sort((a, b) => (a.id < b.id ? -1 : 1)),
    reason: '',
  };
};
