/** Members that a node knows of, by address, so that ping rounds reach more nodes than the seeds. */
import type { Member } from '@tillerstair/state';

/** Limit on the number of known members; beyond it, the least recently mentioned are removed. */
const maxKnownMembers = 256;
/** An address that misses more consecutive ping rounds than this is removed. */
const maxMissedRounds = 20;

/** Known members, ordered by when they were last mentioned; never contains the node itself. */
export class KnownMembers {
  private readonly byAddress = new Map<string, Member>();
  private readonly missedRounds = new Map<string, number>();

  constructor(private readonly localAddress: string) {}

  /** Adds these members as the most recently mentioned; a member replaces the previous one at the same address. */
  learn(members: Iterable<Member>): void {
    for (const member of members) {
      if (member.addr === this.localAddress) continue;
      this.byAddress.delete(member.addr);
      this.byAddress.set(member.addr, member);
    }
    this.forgetOldest();
  }

  private forgetOldest(): void {
    while (this.byAddress.size > maxKnownMembers) {
      const oldest = this.byAddress.keys().next().value;
      if (oldest === undefined) return;
      this.byAddress.delete(oldest);
    }
  }

  /** Records that the address replied to a ping, which resets its count of missed rounds. */
  noteReply(addr: string): void {
    this.missedRounds.delete(addr);
  }

  /** Records that a ping to the address failed; removes its member after too many failures in a row. */
  noteMissedReply(addr: string): void {
    const missed = (this.missedRounds.get(addr) ?? 0) + 1;
    this.missedRounds.set(addr, missed);
    if (missed > maxMissedRounds) this.byAddress.delete(addr);
  }

  /** All known members, the least recently mentioned first. */
  all(): readonly Member[] {
    return [...this.byAddress.values()];
  }

  /** Known controls; ping rounds go only to these and the seeds. */
  controls(): Member[] {
    return this.all().filter((member) => member.kind === 'control');
  }
}
