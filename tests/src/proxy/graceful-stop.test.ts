/** A front that is told to stop ends no request of another front's caller. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { passAt } from '@tillerstair/sim';
import { fiveControls, ownerOf, passUp } from '../support/world-helpers.js';

const frontStop = suite('a front that stops in order');
const seeds = [21, 22, 23];
const streams = 60;
const streamEveryMs = 150;

frontStop('streams that go on all the time in a slot do not outlive its owner', async () => {
  for (const seed of seeds) {
    const w = await passUp(seed, fiveControls);
    const program = `busy${seed}`;
    const owner = ownerOf(w, `p/x-${program}`);
    const other = w.of('front').find((m) => m !== owner);
    if (!owner || !other) throw new Error('two fronts are needed');
    for (const id of ['m1', 'm2']) w.servers.set(id, { slow: 15 });
    const asked: Promise<{ reported: string; status: number }>[] = [];
    const ask = (): void =>
      void asked.push(passAt(w, { path: '/turn/x', program, budget: 100000 }, other));
    for (let n = 0; n < 5; n++) {
      ask();
      await w.clock.run(streamEveryMs);
    }
    let stopped = false;
    void owner.stopGracefully().then(() => {
      stopped = true;
    });
    for (let n = 0; n < streams; n++) {
      ask();
      await w.clock.run(streamEveryMs);
    }
    assert.ok(stopped, `seed ${seed}: the front ended`);
    const results = await w.clock.finish('streams', Promise.all(asked), 60000);
    const unclear = results.filter((r) => r.reported !== 'done' && r.reported !== 'refused');
    assert.equal(
      unclear.map((r) => `${r.reported} ${r.status}`),
      [],
      `seed ${seed}`,
    );
    assert.ok(results.filter((r) => r.reported === 'done').length > streams / 3);
  }
});

frontStop.run();
