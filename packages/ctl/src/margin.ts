/** Prints how many more losses the voting controls and each slot bear. */
import type { MarginReport, SlotMargin } from '@tillerstair/state';

const meaning = (margin: number): string => {
  if (margin < 0) return 'the quorum is gone';
  if (margin === 0) return 'no further loss is borne';
  return `${margin} more ${margin === 1 ? 'loss is' : 'losses are'} borne`;
};

const slotLine = (s: SlotMargin): string =>
  `slot ${s.slot}: ${s.live} of ${s.replicas} replicas live${s.joiningReplicas > 0 ? ', one being filled' : ''}: ${meaning(s.margin)}`;

/** One line for the voters, one for all slots, and one for each slot below what the replication is meant for. */
export const marginLines = (r: MarginReport): readonly string[] => {
  const wanted = r.replication.replicas - r.replication.quorum;
  const short = r.slots.filter((s) => s.margin < wanted);
  const { voters } = r;
  return [
    `voting controls: ${voters.live} of ${voters.voting} live${voters.changing ? ', a change is under way' : ''}: ${meaning(voters.margin)}`,
    `slots: ${r.slots.length}, ${r.replication.replicas} replicas each, writes on ${r.replication.quorum}: ${r.leastSlotMargin === null ? 'none yet' : meaning(r.leastSlotMargin)}`,
    ...short.map(slotLine),
  ];
};

/** Whether all that should be borne is borne now. */
export const marginWhole = (r: MarginReport): boolean => {
  const wanted = r.replication.replicas - r.replication.quorum;
  const wantedOfVoters = Math.min(wanted, Math.floor((r.voters.voting - 1) / 2));
  return r.voters.margin >= wantedOfVoters && r.slots.every((s) => s.margin >= wanted);
};
