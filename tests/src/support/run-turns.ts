/** Turns to be kept over repairs, and the check that they were. */
import * as assert from 'uvu/assert';
import { World } from '@tillerstair/sim';

export const runTurns = async (
  cluster: World,
  program: string,
  from: number,
  count: number,
): Promise<void> => {
  for (let i = from; i < from + count; i++) {
    const turn = await cluster.clock.finish(
      'turn',
      cluster.turn(program, null, `r #${cluster.seed}-${i}`, `r${i}`),
      30000,
    );
    assert.is(turn.reported, 'done', turn.errorCode);
  }
};
