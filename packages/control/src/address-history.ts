/**
 * The addresses at which nodes were last known, also of nodes that are no members any more. A node's id lies on its
 * disk: when another id holds the address of one that is away, that one's disk is lost (design.md, "A lost disk").
 */
import { replicasToWrite, type State } from '@tillerstair/state';

/** The last known address of each node that the cluster state names. */
export class AddressHistory {
  private readonly addresses = new Map<string, string>();

  /** Takes over the addresses of a state, and forgets nodes that it names nowhere. */
  update(state: State): void {
    for (const member of [...state.votingMembers.values(), ...state.nodes.values()])
      this.addresses.set(member.id, member.addr);
    const named = new Set([
      ...state.votingMembers.keys(),
      ...state.nodes.keys(),
      ...state.slots.flatMap(replicasToWrite),
    ]);
    for (const id of this.addresses.keys()) if (!named.has(id)) this.addresses.delete(id);
  }

  /** Which of these nodes are no members while another member holds their address. */
  lostDisks(state: State, ids: readonly string[]): ReadonlySet<string> {
    const occupied = new Set([...state.nodes.values()].map((member) => member.addr));
    return new Set(
      ids.filter((id) => !state.nodes.has(id) && occupied.has(this.addresses.get(id) ?? '')),
    );
  }
}
