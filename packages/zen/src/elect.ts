import { newer, quorum, type Mark, type Mate, type Voters } from '@tillerstair/state';
import type { Pong } from './messages.js';

export interface Self {
  readonly mate: Mate;
  readonly canWin: boolean;
  /** Whether it can sync a vote; without that it counts for no majority. */
  readonly writable?: boolean;
  readonly joinedBefore: boolean;
  readonly accepted: Mark;
  readonly voters: Voters | undefined;
}

export type Choice =
  | { readonly kind: 'master'; readonly mate: Mate; readonly by: 'reported' | 'former' | 'active' }
  | { readonly kind: 'none'; readonly why: string };

const first = (ms: readonly Mate[]): Mate | undefined => [...ms].sort((a, b) => (a.id < b.id ? -1 : a.id > b.id ? 1 : 0))[0];

export const votersSeen = (self: Self, pongs: readonly Pong[]): Voters | undefined => {
  let voters = self.voters;
  let mark = self.accepted;
  for (const p of pongs)
    if (p.voters && (!voters || newer(p.accepted, mark))) {
      voters = p.voters;
      mark = p.accepted;
    }
  return voters;
};

export const enough = (voters: Voters | undefined, actives: readonly Mate[]): boolean =>
  voters !== undefined && quorum(voters, new Set(actives.map((m) => m.id)));

export const elect = (self: Self, replies: readonly Pong[]): Choice => {
  const pongs = replies.filter((p) => p.eligible);
  const answered = new Set(pongs.map((p) => p.from.id));
  const reported = new Map<string, Mate>();
  for (const p of pongs) {
    const m = p.master;
    if (m && m.id !== self.mate.id && answered.has(m.id)) reported.set(m.id, m);
  }
  const seen = first([...reported.values()]);
  if (seen) return { kind: 'master', mate: seen, by: 'reported' };

  const self1 = self.mate.kind === 'control' && self.writable !== false ? [self.mate] : [];
  const actives = [...pongs.map((p) => p.from), ...self1];
  if (!enough(votersSeen(self, pongs), actives)) return { kind: 'none', why: 'too few eligible mates replied' };
  const able = pongs.filter((p) => p.canWin);
  const mine = self.canWin ? [self.mate] : [];
  const former = [...able.filter((p) => p.joinedBefore).map((p) => p.from), ...(self.joinedBefore ? mine : [])];
  const old = first(former);
  if (old) return { kind: 'master', mate: old, by: 'former' };
  const best = first([...able.map((p) => p.from), ...mine]);
  return best ? { kind: 'master', mate: best, by: 'active' } : { kind: 'none', why: 'no mate can win' };
};
