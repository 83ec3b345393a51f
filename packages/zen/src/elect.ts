/**
 * Choice of a master after a ping round (docs/zen.md, "Kept, on the ordinary path"): the lowest id among the masters
 * that others report, else among candidates that have followed or led a master before, else among all candidates. The
 * last two require replies from a majority of the voters.
 */
import {
  isNewerVersion,
  hasQuorum,
  type Member,
  type StateVersion,
  type VotingConfiguration,
} from '@tillerstair/state';
import type { LocalCandidate } from './local-node.js';
import type { PingResponse } from './messages.js';

/** The chosen master and which of the three groups it came from, or the reason why there is none. */
export type ElectionResult =
  | {
      readonly kind: 'master';
      readonly member: Member;
      readonly by: 'reported' | 'former' | 'active';
    }
  | { readonly kind: 'none'; readonly reason: string };

const firstById = (members: readonly Member[]): Member | undefined =>
  [...members].sort((a, b) => (a.id < b.id ? -1 : a.id > b.id ? 1 : 0))[0];

/** Voters in the newest state that this node or any respondent has accepted. */
const newestVoters = (
  local: LocalCandidate,
  replies: readonly PingResponse[],
): VotingConfiguration | undefined => {
  let voters = local.voters;
  let version: StateVersion = local.accepted;
  for (const reply of replies) {
    if (!reply.voters || (voters && !isNewerVersion(reply.accepted, version))) continue;
    voters = reply.voters;
    version = reply.accepted;
  }
  return voters;
};

/**
 * The reported master with the lowest id. A reported master that did not reply in this round itself is skipped: it may
 * be the one that just failed (docs/zen.md, "A reported master must itself have replied").
 */
const reportedMaster = (
  local: LocalCandidate,
  replies: readonly PingResponse[],
): Member | undefined => {
  const replied = new Set(replies.map((reply) => reply.from.id));
  const reported = replies.flatMap((reply) => (reply.master ? [reply.master] : []));
  const byId = new Map(reported.map((master) => [master.id, master]));
  return firstById(
    [...byId.values()].filter((master) => master.id !== local.member.id && replied.has(master.id)),
  );
};

/** Whether the respondents are a majority of the voters, counting this node if it is a control that can sync a vote. */
const hasVoterQuorum = (local: LocalCandidate, replies: readonly PingResponse[]): boolean => {
  const voters = newestVoters(local, replies);
  if (voters === undefined) return false;
  const active = new Set(replies.map((reply) => reply.from.id));
  if (local.member.kind === 'control' && local.writable !== false) active.add(local.member.id);
  return hasQuorum(voters, active);
};

/** Chooses a master from the replies of one ping round; replies of nodes that are not eligible are ignored. */
export const elect = (
  local: LocalCandidate,
  pingResponses: readonly PingResponse[],
): ElectionResult => {
  const replies = pingResponses.filter((reply) => reply.eligible);
  const reported = reportedMaster(local, replies);
  if (reported) return { kind: 'master', member: reported, by: 'reported' };
  if (!hasVoterQuorum(local, replies))
    return { kind: 'none', reason: 'too few eligible voters replied for a majority' };
  const others = replies.map((reply) => ({ ...reply, member: reply.from }));
  const candidates = [...others, local].filter((candidate) => candidate.canWin);
  const former = firstById(
    candidates.filter((candidate) => candidate.joinedBefore).map(({ member }) => member),
  );
  if (former) return { kind: 'master', member: former, by: 'former' };
  const active = firstById(candidates.map(({ member }) => member));
  if (active) return { kind: 'master', member: active, by: 'active' };
  return { kind: 'none', reason: 'none of the members that replied can win an election' };
};
