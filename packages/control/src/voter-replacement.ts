/** Selects the spare control that gets the vote of a lost one (zen.md, voting members). */
import type { Member, State } from '@tillerstair/state';
import type { MasterView } from '@tillerstair/zen';

/** A vote that moves from a lost control to a spare one. */
export interface VoterReplacement {
  readonly lostId: string;
  readonly spare: Member;
}

const votersSettled = (state: State): boolean =>
  state.voters.current.join() === state.voters.next.join();

/**
 * A control without a vote that responds and has the newest committed state on its disk, preferably in the given zone.
 */
const spareControl = (
  state: State,
  master: MasterView,
  zone: string | undefined,
): Member | undefined =>
  [...state.nodes.values()]
    .filter(
      (member) =>
        member.kind === 'control' &&
        !state.voters.current.includes(member.id) &&
        master.isResponsive(member.id) &&
        master.holdsCommitted(member.id),
    )
    .sort(
      (first, second) =>
        Number(second.zone === zone) - Number(first.zone === zone) ||
        (first.id < second.id ? -1 : 1),
    )[0];

/**
 * The vote that is to move from a control that left, failed or lost its disk to a spare one, if there is one. None
 * while another change of voters is proposed or not yet committed: two changes could leave majorities without a common
 * member.
 */
export const findVoterReplacement = (
  state: State,
  master: MasterView,
  lostDisks: (ids: readonly string[]) => ReadonlySet<string>,
): VoterReplacement | undefined => {
  if (!votersSettled(state)) return undefined;
  if (master.committed && !votersSettled(master.committed)) return undefined;
  const { current } = state.voters;
  const lost = lostDisks(current);
  const lostId = current.find((id) => lost.has(id)) ?? current.find((id) => !state.nodes.has(id));
  if (lostId === undefined) return undefined;
  const spare = spareControl(state, master, state.votingMembers.get(lostId)?.zone);
  return spare && { lostId, spare };
};
