/** Formats how many more losses the voting controls and each slot tolerate. */
import type { MarginReport, SlotMargin } from '@tillerstair/state';

const describeMargin = (margin: number): string => {
  if (margin < 0) return 'the quorum is lost';
  if (margin === 0) return 'no further loss is tolerated';
  return `${margin} more ${margin === 1 ? 'loss is' : 'losses are'} tolerated`;
};

/** Number of store losses that each slot tolerates when all its replicas are live. */
const intendedSlotMargin = ({ replication }: MarginReport): number =>
  replication.replicas - replication.quorum;

const votersLine = ({ voters }: MarginReport): string => {
  const change = voters.changing ? ', a change is in progress' : '';
  return `voting controls: ${voters.live} of ${voters.voting} live${change}: ${describeMargin(voters.margin)}`;
};

const allSlotsLine = ({ slots, replication, leastSlotMargin }: MarginReport): string => {
  const margin = leastSlotMargin === null ? 'none yet' : describeMargin(leastSlotMargin);
  return `slots: ${slots.length}, ${replication.replicas} replicas each, writes on ${replication.quorum}: ${margin}`;
};

const slotLine = ({ slot, live, replicas, joiningReplicas, margin }: SlotMargin): string => {
  const joining = joiningReplicas > 0 ? ', one being filled' : '';
  return `slot ${slot}: ${live} of ${replicas} replicas live${joining}: ${describeMargin(margin)}`;
};

/**
 * One line for the voting controls, one for all slots, and one for each slot that tolerates fewer losses than intended.
 */
export const marginLines = (report: MarginReport): readonly string[] => [
  votersLine(report),
  allSlotsLine(report),
  ...report.slots.filter((slot) => slot.margin < intendedSlotMargin(report)).map(slotLine),
];

/** Whether the voting controls and all slots tolerate as many losses now as the replication is configured for. */
export const isMarginFull = (report: MarginReport): boolean => {
  const slotMargin = intendedSlotMargin(report);
  const voterMargin = Math.min(slotMargin, Math.floor((report.voters.voting - 1) / 2));
  return (
    report.voters.margin >= voterMargin && report.slots.every((slot) => slot.margin >= slotMargin)
  );
};
