/** An index of turns by name, which finds the items of a turn without knowing its program. */

/** The slot that holds an item, and the item's key. */
export interface ItemLocation {
  readonly slot: number;
  readonly key: string;
}

/** The encoded name of the turn in a key `p/PROGRAM/t/TURN`; empty for any other key. */
const turnOfKey = (key: string): string => {
  const [kind, , section, turn = ''] = key.split('/');
  return kind === 'p' && section === 't' ? turn : '';
};

/**
 * The locations of the turns that a store holds, by encoded name. A turn has one location for each program that holds it:
 * its own, and those that continue it and have a copy.
 */
export class TurnIndex {
  private readonly locations = new Map<string, readonly ItemLocation[]>();

  /** Adds an item if its key is that of a turn. */
  add(slot: number, key: string): void {
    const turn = turnOfKey(key);
    if (turn === '') return;
    const known = this.find(turn);
    if (!known.some((location) => location.key === key))
      this.locations.set(turn, [...known, { slot, key }]);
  }

  /** Removes an item; the same turn under other keys stays. */
  remove(key: string): void {
    const turn = turnOfKey(key);
    const remaining = this.find(turn).filter((location) => location.key !== key);
    if (remaining.length > 0) this.locations.set(turn, remaining);
    else this.locations.delete(turn);
  }

  /** The locations of a turn by its encoded name, as in a key, in the order in which they were added. */
  find(encodedName: string): readonly ItemLocation[] {
    return this.locations.get(encodedName) ?? [];
  }

  /** The locations of a turn by its name before encoding. Keys are URI-encoded and also encode `~`. */
  findByName(name: string): readonly ItemLocation[] {
    return this.find(encodeURIComponent(name).replaceAll('~', '%7E'));
  }
}
