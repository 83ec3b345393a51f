/**
 * The last known address of each node, including nodes that are no longer members. A node's id is stored on its disk,
 * so when another id joins at the address of an absent node, the disk of the absent node is lost
 * (design.md, "A lost disk").
 */
import { replicasToWrite, type State } from '@tillerstair/state';

/** Tracks the last known address of each node that the cluster state refers to. */
export class AddressHistory {
  private readonly addresses = new Map<string, string>();

  /** Records the addresses of the nodes in a state, and drops nodes that it no longer refers to. */
  update(state: State): void {
    for (const member of [...state.votingMembers.values(), ...state.nodes.values()])
      this.addresses.set(member.id, member.addr);
    const referencedIds = new Set([
      ...state.votingMembers.keys(),
      ...state.nodes.keys(),
      ...state.slots.flatMap(replicasToWrite),
    ]);
    for (const id of this.addresses.keys()) if (!referencedIds.has(id)) this.addresses.delete(id);
  }

  /** The given nodes that are not members while another member uses their last known address. */
  lostDisks(state: State, ids: readonly string[]): ReadonlySet<string> {
    const occupied = new Set([...state.nodes.values()].map((member) => member.addr));
    return new Set(
      ids.filter((id) => !state.nodes.has(id) && occupied.has(this.addresses.get(id) ?? '')),
    );
  }
}
