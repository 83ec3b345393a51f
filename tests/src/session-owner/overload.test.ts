/** Load beyond the capacity of the servers: throughput, refusals, and the waiting times of both classes. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ReplyRecord } from '@tillerstair/checker';
import { small, worldUp } from '../support/world-helpers.js';
import { stormConfig } from '@tillerstair/sim';

const overload = suite('overload');
/** Nominal capacity of the servers, in requests per second. */
const capacity = 32;

/** Sends requests at a multiple of the capacity for 15 seconds; every fifth request is urgent. */
const offerLoad = async (
  loadFactor: number,
): Promise<{ done: readonly ReplyRecord[]; refused: readonly ReplyRecord[] }> => {
  const cluster = await worldUp(81, small);
  const text = stormConfig({ base: 1, turnPools: ['models'], callPool: 'shop', extraRoutes: 0 });
  const bounds = { callMs: 4000, perServer: 2, queue: 200 };
  assert.is(
    (await cluster.operate('PUT', '/v1/config', JSON.stringify({ ...JSON.parse(text), bounds })))
      .status,
    200,
  );
  for (const id of ['s1', 's2']) cluster.servers.set(id, { slow: 10 });
  const pending: Promise<ReplyRecord>[] = [];
  for (let i = 0; i < loadFactor * capacity * 15; i++) {
    pending.push(cluster.call(`k${i}`, i % 5 === 0 ? '/alarm' : '/hold', { i }));
    await cluster.clock.run(1000 / (loadFactor * capacity));
  }
  const replies = await cluster.clock.finish('all', Promise.all(pending), 60000);
  assert.ok(replies.every((reply) => reply.reported === 'done' || reply.reported === 'refused'));
  return {
    done: replies.filter((reply) => reply.reported === 'done'),
    refused: replies.filter((reply) => reply.reported === 'refused'),
  };
};

/** A quantile of the response times, in ms; 0 without replies. */
const responseTimeQuantile = (replies: readonly ReplyRecord[], quantile: number): number => {
  const durationsMs = replies.map((reply) => reply.to - reply.from).sort((a, b) => a - b);
  return durationsMs[Math.floor(durationsMs.length * quantile)] ?? 0;
};
const isUrgent = (reply: ReplyRecord): boolean => Number(reply.key.slice(1)) % 5 === 0;

overload(
  'throughput is kept at four times the capacity, and refusals are fast and have a retry hint',
  async () => {
    const atCapacity = await offerLoad(1);
    const atFourfold = await offerLoad(4);
    assert.ok(
      atFourfold.done.length >= atCapacity.done.length * 0.9,
      `${atFourfold.done.length} done at four times the capacity, ${atCapacity.done.length} at capacity`,
    );
    assert.ok(atFourfold.refused.length > atFourfold.done.length);
    assert.ok(
      responseTimeQuantile(atFourfold.refused, 0.95) < 500,
      `${responseTimeQuantile(atFourfold.refused, 0.95)} ms to be refused`,
    );
    assert.ok(atFourfold.refused.every((reply) => reply.retryAfter > 0));
    assert.ok(atFourfold.done.every((reply) => reply.to - reply.from < 4000));
    const urgent = atFourfold.done.filter(isUrgent);
    const ordinary = atFourfold.done.filter((reply) => !isUrgent(reply));
    assert.ok(
      responseTimeQuantile(urgent, 0.5) < responseTimeQuantile(ordinary, 0.5),
      'urgent requests wait less than ordinary ones',
    );
    assert.ok(ordinary.length > urgent.length * 0.2, 'ordinary requests are not starved');
    if (process.env['SHOW'] !== undefined)
      for (const [name, result] of [
        ['1x', atCapacity],
        ['2x', await offerLoad(2)],
        ['4x', atFourfold],
      ] as const) {
        const classes = [
          result.done.filter(isUrgent),
          result.done.filter((reply) => !isUrgent(reply)),
        ] as const;
        console.log(
          name,
          'done',
          result.done.length,
          'refused',
          result.refused.length,
          'ms until refused (median, 95th percentile)',
          responseTimeQuantile(result.refused, 0.5).toFixed(0),
          responseTimeQuantile(result.refused, 0.95).toFixed(0),
          'urgent done, median, 95th percentile',
          classes[0].length,
          responseTimeQuantile(classes[0], 0.5).toFixed(0),
          responseTimeQuantile(classes[0], 0.95).toFixed(0),
          'ordinary',
          classes[1].length,
          responseTimeQuantile(classes[1], 0.5).toFixed(0),
          responseTimeQuantile(classes[1], 0.95).toFixed(0),
        );
      }
  },
);

overload.run();
