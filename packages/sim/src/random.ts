/** Seeded random numbers, which make runs repeatable. */

/** A generator of numbers from 0 up to, but not including, 1 (mulberry32); the same seed gives the same sequence. */
export const seededRng = (seed: number): (() => number) => {
  let state = (seed * 2654435761) >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
  };
};
