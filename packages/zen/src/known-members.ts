/** The members that a node has heard of, by address, so that ping rounds reach more than the seeds. */
import type { Member } from '@tillerstair/state';

/** Addresses beyond this number are forgotten, the longest unheard of first. */
const maxKnownMembers = 256;
/** After so many rounds in a row without its reply an address is forgotten. */
const maxMissedRounds = 20;

/** Keeps the members heard of in the order of the latest word of them; never the node itself. */
export class KnownMembers {
  private readonly byAddress = new Map<string, Member>();
  private readonly missedRounds = new Map<string, number>();

  constructor(private readonly localAddress: string) {}

  /** Remembers these members; one that takes over an address replaces the earlier. */
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

  /** Notes that the address replied to a ping. */
  noteReply(addr: string): void {
    this.missedRounds.delete(addr);
  }

  /** Notes that the address did not reply to a ping; one that never replies is forgotten. */
  noteMissedReply(addr: string): void {
    const missed = (this.missedRounds.get(addr) ?? 0) + 1;
    this.missedRounds.set(addr, missed);
    if (missed > maxMissedRounds) this.byAddress.delete(addr);
  }

  /** All members heard of. */
  all(): readonly Member[] {
    return [...this.byAddress.values()];
  }

  /** The controls among them: the only nodes that are pinged. */
  controls(): Member[] {
    return this.all().filter((member) => member.kind === 'control');
  }
}
