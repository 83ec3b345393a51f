import {
  isNewerVersion,
  hasQuorum,
  type StateVersion,
  type Member,
  type VotingConfiguration,
} from '@tillerstair/state';
import type { PingResponse } from './messages.js';

export interface Self {
  readonly member: Member;
  readonly canWin: boolean;
  /** Whether it can sync a vote; without that it counts for no majority. */
  readonly writable?: boolean;
  readonly joinedBefore: boolean;
  readonly accepted: StateVersion;
  readonly voters: VotingConfiguration | undefined;
}

export type Choice =
  | {
      readonly kind: 'master';
      readonly member: Member;
      readonly by: 'reported' | 'former' | 'active';
    }
  | { readonly kind: 'none'; readonly why: string };

const first = (ms: readonly Member[]): Member | undefined =>
  [...ms].sort((a, b) => (a.id < b.id ? -1 : a.id > b.id ? 1 : 0))[0];

export const votersSeen = (
  self: Self,
  pingResponses: readonly PingResponse[],
): VotingConfiguration | undefined => {
  let voters = self.voters;
  let stateVersion = self.accepted;
  for (const p of pingResponses)
    if (p.voters && (!voters || isNewerVersion(p.accepted, stateVersion))) {
      voters = p.voters;
      stateVersion = p.accepted;
    }
  return voters;
};

export const enough = (
  voters: VotingConfiguration | undefined,
  actives: readonly Member[],
): boolean => voters !== undefined && hasQuorum(voters, new Set(actives.map((m) => m.id)));

export const elect = (self: Self, replies: readonly PingResponse[]): Choice => {
  const pingResponses = replies.filter((p) => p.eligible);
  const answered = new Set(pingResponses.map((p) => p.from.id));
  const reported = new Map<string, Member>();
  for (const p of pingResponses) {
    const m = p.master;
    if (m && m.id !== self.member.id && answered.has(m.id)) reported.set(m.id, m);
  }
  const seen = first([...reported.values()]);
  if (seen) return { kind: 'master', member: seen, by: 'reported' };

  const self1 = self.member.kind === 'control' && self.writable !== false ? [self.member] : [];
  const actives = [...pingResponses.map((p) => p.from), ...self1];
  if (!enough(votersSeen(self, pingResponses), actives))
    return { kind: 'none', why: 'too few eligible members replied' };
  const able = pingResponses.filter((p) => p.canWin);
  const mine = self.canWin ? [self.member] : [];
  const former = [
    ...able.filter((p) => p.joinedBefore).map((p) => p.from),
    ...(self.joinedBefore ? mine : []),
  ];
  const old = first(former);
  if (old) return { kind: 'master', member: old, by: 'former' };
  const best = first([...able.map((p) => p.from), ...mine]);
  return best
    ? { kind: 'master', member: best, by: 'active' }
    : { kind: 'none', why: 'no member can win' };
};
