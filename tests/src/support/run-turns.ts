/** Runs turns that must still be readable after stores were replaced. */
import * as assert from 'uvu/assert';
import { World } from '@tillerstair/sim';

/** Runs `count` turns of a program one after the other, numbered from `from`; fails if one of them is not done. */
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
