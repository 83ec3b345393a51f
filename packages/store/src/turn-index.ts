/** Where the item of each turn is, by the turn's name, so that it is found without knowing its program. */

/** The slot and the key of an item. */
export interface ItemLocation {
  readonly slot: number;
  readonly key: string;
}

/** The turn that an item's key names, as in `p/PROGRAM/t/TURN`; empty for any other item. */
const turnOfKey = (key: string): string => {
  const [kind, , section, turn = ''] = key.split('/');
  return kind === 'p' && section === 't' ? turn : '';
};

/** An index of the turns that a store holds. */
export class TurnIndex {
  private readonly locations = new Map<string, ItemLocation>();

  /** Adds an item if it is a turn. */
  add(slot: number, key: string): void {
    const turn = turnOfKey(key);
    if (turn !== '') this.locations.set(turn, { slot, key });
  }

  /** Removes an item; a turn of the same name that came later under another key stays. */
  remove(key: string): void {
    const turn = turnOfKey(key);
    if (this.locations.get(turn)?.key === key) this.locations.delete(turn);
  }

  /** Finds a turn by its name as it stands in a key. */
  find(turn: string): ItemLocation | undefined {
    return this.locations.get(turn);
  }

  /** Finds a turn by its plain name. */
  findByName(name: string): ItemLocation | undefined {
    return this.find(encodeURIComponent(name).replaceAll('~', '%7E'));
  }
}
