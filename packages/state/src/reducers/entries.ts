/** Copies of maps with one entry set or removed; the cluster state is never modified in place. */

/** A copy with this entry set. */
export const withEntry = <Value>(
  map: ReadonlyMap<string, Value>,
  key: string,
  value: Value,
): ReadonlyMap<string, Value> => new Map(map).set(key, value);

/** A copy without the entry of this key. */
export const withoutEntry = <Value>(
  map: ReadonlyMap<string, Value>,
  key: string,
): ReadonlyMap<string, Value> => {
  const copy = new Map(map);
  copy.delete(key);
  return copy;
};
