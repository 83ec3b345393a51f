/** Turns to be kept over repairs, and the check that they were. */
import * as assert from 'uvu/assert';
import { World } from '@tillerstair/sim';

export const runTurns = async (
  w: World,
  program: string,
  from: number,
  count: number,
): Promise<void> => {
  for (let i = from; i < from + count; i++) {
    const t = await w.clock.finish(
      'turn',
      w.turn(program, null, `r #${w.seed}-${i}`, `r${i}`),
      30000,
    );
    assert.is(t.reported, 'done', t.errorCode);
  }
};
