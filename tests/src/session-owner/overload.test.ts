import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ReplyRecord } from '@tillerstair/checker';
import { small, worldUp } from '../support/world-helpers.js';
import { stormConfig } from '@tillerstair/sim';

const overload = suite('more work than there are servers for');
const capacity = 32;

const offer = async (
  times: number,
): Promise<{ done: readonly ReplyRecord[]; refused: readonly ReplyRecord[] }> => {
  const w = await worldUp(81, small);
  const text = stormConfig({ base: 1, turnPools: ['models'], callPool: 'shop', extra: 0 });
  const bounds = { callMs: 4000, perServer: 2, queue: 200 };
  assert.is(
    (await w.operate('PUT', '/v1/config', JSON.stringify({ ...JSON.parse(text), bounds }))).status,
    200,
  );
  for (const id of ['s1', 's2']) w.servers.set(id, { slow: 10 });
  const going: Promise<ReplyRecord>[] = [];
  for (let i = 0; i < times * capacity * 15; i++) {
    going.push(w.call(`k${i}`, i % 5 === 0 ? '/alarm' : '/hold', { i }));
    await w.clock.run(1000 / (times * capacity));
  }
  const reported = await w.clock.finish('all', Promise.all(going), 60000);
  assert.ok(reported.every((t) => t.reported === 'done' || t.reported === 'refused'));
  return {
    done: reported.filter((t) => t.reported === 'done'),
    refused: reported.filter((t) => t.reported === 'refused'),
  };
};

const tookOf = (rows: readonly ReplyRecord[], q: number): number => {
  const took = rows.map((t) => t.to - t.from).sort((a, b) => a - b);
  return took[Math.floor(took.length * q)] ?? 0;
};
const urgent = (t: ReplyRecord): boolean => Number(t.key.slice(1)) % 5 === 0;

overload(
  'as much is done at four times the load, refusals come at once and say when to come back',
  async () => {
    const once = await offer(1);
    const many = await offer(4);
    assert.ok(
      many.done.length >= once.done.length * 0.9,
      `${many.done.length} against ${once.done.length}`,
    );
    assert.ok(many.refused.length > many.done.length);
    assert.ok(tookOf(many.refused, 0.95) < 500, `${tookOf(many.refused, 0.95)} ms to be refused`);
    assert.ok(many.refused.every((t) => t.retryAfter > 0));
    assert.ok(many.done.every((t) => t.to - t.from < 4000));
    const urgents = many.done.filter(urgent);
    const others = many.done.filter((t) => !urgent(t));
    assert.ok(tookOf(urgents, 0.5) < tookOf(others, 0.5), 'urgent waits less');
    assert.ok(others.length > urgents.length * 0.2, 'ordinary is not starved');
    if (process.env['SHOW'] !== undefined)
      for (const [name, r] of [
        ['1x', once],
        ['2x', await offer(2)],
        ['4x', many],
      ] as const) {
        const split = [r.done.filter(urgent), r.done.filter((t) => !urgent(t))] as const;
        console.log(
          name,
          'done',
          r.done.length,
          'refused',
          r.refused.length,
          'told refused after (median, 95th)',
          tookOf(r.refused, 0.5).toFixed(0),
          tookOf(r.refused, 0.95).toFixed(0),
          'urgent done, median, 95th',
          split[0].length,
          tookOf(split[0], 0.5).toFixed(0),
          tookOf(split[0], 0.95).toFixed(0),
          'ordinary',
          split[1].length,
          tookOf(split[1], 0.5).toFixed(0),
          tookOf(split[1], 0.95).toFixed(0),
        );
      }
  },
);

overload.run();
