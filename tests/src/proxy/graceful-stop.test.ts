/** A stopping front must not break off requests of another front's callers. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { passAt } from '@tillerstair/sim';
import { fiveControls, ownerOf, passUp } from '../support/world-helpers.js';

const frontStop = suite('graceful stop of a front');
const seeds = [21, 22, 23];
const streams = 60;
const streamEveryMs = 150;

frontStop(
  'continuous streams in a slot do not delay the stop of its owner and are not broken off',
  async () => {
    for (const seed of seeds) {
      const world = await passUp(seed, fiveControls);
      const program = `busy${seed}`;
      const owner = ownerOf(world, `p/x-${program}`);
      const other = world.of('front').find((machine) => machine !== owner);
      if (!owner || !other) throw new Error('two fronts are needed');
      for (const id of ['m1', 'm2']) world.servers.set(id, { slow: 15 });
      const responses: Promise<{ reported: string; status: number }>[] = [];
      const sendStream = (): void =>
        void responses.push(passAt(world, { path: '/turn/x', program, budget: 100000 }, other));
      for (let i = 0; i < 5; i++) {
        sendStream();
        await world.clock.run(streamEveryMs);
      }
      let stopped = false;
      void owner.stopGracefully().then(() => {
        stopped = true;
      });
      for (let i = 0; i < streams; i++) {
        sendStream();
        await world.clock.run(streamEveryMs);
      }
      assert.ok(stopped, `seed ${seed}: the front has stopped`);
      const results = await world.clock.finish('streams', Promise.all(responses), 60000);
      const unclear = results.filter(
        (result) => result.reported !== 'done' && result.reported !== 'refused',
      );
      assert.equal(
        unclear.map((result) => `${result.reported} ${result.status}`),
        [],
        `seed ${seed}`,
      );
      assert.ok(results.filter((result) => result.reported === 'done').length > streams / 3);
    }
  },
);

frontStop.run();
