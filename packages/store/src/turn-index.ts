/** An index of turns by name, which finds a turn's item without knowing its program. */

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

/** The locations of the turns that a store holds, by encoded name. */
export class TurnIndex {
  private readonly locations = new Map<string, ItemLocation>();

  /** Adds an item if its key is that of a turn; replaces an earlier turn of the same name. */
  add(slot: number, key: string): void {
    const turn = turnOfKey(key);
    if (turn !== '') this.locations.set(turn, { slot, key });
  }

  /** Removes an item; a turn of the same name that was added later under another key stays. */
  remove(key: string): void {
    const turn = turnOfKey(key);
    if (this.locations.get(turn)?.key === key) this.locations.delete(turn);
  }

  /** Finds a turn by its encoded name, as in a key. */
  find(encodedName: string): ItemLocation | undefined {
    return this.locations.get(encodedName);
  }

  /** Finds a turn by its name before encoding. Keys are URI-encoded and also encode `~`. */
  findByName(name: string): ItemLocation | undefined {
    return this.find(encodeURIComponent(name).replaceAll('~', '%7E'));
  }
}
