/** A draining server gets no new requests from fronts that froze, or that learned of the draining mark late. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { DrainingRecord } from '@tillerstair/checker';
import {
  assertNoBreach,
  fiveControls,
  recordsOf,
  ownerOf,
  worldUp,
} from '../support/world-helpers.js';

const draining = suite('draining servers');
const seeds = [11, 12, 13, 14];

draining(
  'a front that freezes between its last check and sending sends nothing to a server drained meanwhile',
  async () => {
    for (const seed of seeds) {
      const cluster = await worldUp(seed, fiveControls);
      const program = await cluster.clock.finish('program', cluster.program(900), 10000);
      const front = ownerOf(cluster, `p/${program.program}`);
      const requestsBefore = cluster.servers.asked;
      const pending = cluster.turn(program.program, null, `w #${seed}`, 'k', front);
      await cluster.clock.until(
        'a request about to be sent',
        () => cluster.servers.asked > requestsBefore,
        5000,
      );
      front?.freeze();
      const frozenAt = cluster.clock.now();
      for (const serverId of ['m1', 'm2'])
        assert.is((await cluster.operate('POST', `/v1/servers/${serverId}/draining`)).status, 200);
      await cluster.clock.run(4000);
      const executedBefore = cluster.servers.executed.length;
      front?.wake();
      await cluster.clock.run(3000);
      const turnRecord = await cluster.clock.finish('turn', pending, 30000);
      assert.is.not(turnRecord.reported, 'done');
      assert.is(
        cluster.servers.executed
          .slice(executedBefore)
          .filter((execution) => execution.began > frozenAt + 3300).length,
        0,
      );
    }
  },
);

draining('a front that resumes after a freeze ignores what servers reported before', async () => {
  for (const seed of seeds) {
    const cluster = await worldUp(seed, fiveControls);
    const program = await cluster.clock.finish('program', cluster.program(900), 10000);
    const front = ownerOf(cluster, `p/${program.program}`);
    if (!front) throw new Error('no owner');
    front.proxyIncarnation.frozen = true;
    const markedAt = cluster.clock.now();
    cluster.servers.set('m1', { draining: true });
    await cluster.clock.run(2900);
    front.proxyIncarnation.wake();
    const pending: Promise<unknown>[] = [];
    for (let i = 0; i < 60; i++) {
      pending.push(cluster.turn(program.program, null, `o #${seed}-${i}`, `o${i}`, front));
      await cluster.clock.run(i < 20 ? 3 : 40);
    }
    await cluster.clock.finish('all', Promise.all(pending), 60000);
    assertNoBreach(
      recordsOf(cluster, { drainings: [{ server: 'm1', at: markedAt - 400, until: Infinity }] }),
    );
    assert.ok(
      cluster.servers.executed.some(
        (execution) => execution.server === 'm2' && execution.began > markedAt + 2900,
      ),
    );
  }
});

draining(
  'a draining mark that was committed late is not acknowledged as if it were in time',
  async () => {
    for (const seed of [11, 12, 13, 14, 15, 16, 17, 18]) {
      const cluster = await worldUp(seed, fiveControls);
      const program = await cluster.clock.finish('program', cluster.program(900), 10000);
      const front = ownerOf(cluster, `p/${program.program}`);
      await cluster.clock.run(seed * 97);
      for (const machine of cluster.of('control')) machine.drive.delay = 700;
      void cluster.operate(
        'PUT',
        '/v1/servers/x1',
        JSON.stringify({ pool: 'models', url: 'http://127.0.0.1:1' }),
      );
      await cluster.clock.run(20);
      const drainings: DrainingRecord[] = [];
      const markDraining = async (): Promise<number> => {
        const requestedAt = cluster.clock.now();
        const response = await cluster.master?.control?.operate({
          method: 'POST',
          path: '/v1/servers/m1/draining',
          body: '',
        });
        if (response?.status === 200)
          drainings.push({ server: 'm1', at: requestedAt, until: Infinity });
        return response?.status ?? 0;
      };
      const startedAt = cluster.clock.now();
      const firstMark = markDraining();
      await cluster.clock.run(1370 - (seed % 4) * 60);
      const otherAddresses = cluster.machines
        .filter((machine) => machine !== front)
        .map((machine) => machine.addr);
      cluster.net.cutBoth([front?.addr ?? ''], otherAddresses);
      const pending: Promise<unknown>[] = [];
      for (let i = 0; i < 60; i++) {
        pending.push(cluster.turn(program.program, null, `s #${seed}-${i}`, `s${i}`, front));
        await cluster.clock.run(50);
      }
      const firstStatus = await cluster.clock.finish('first mark', firstMark, 20000);
      if (firstStatus !== 200)
        assert.is(await cluster.clock.finish('again', markDraining(), 20000), 200);
      for (let i = 60; i < 120; i++) {
        pending.push(cluster.turn(program.program, null, `s #${seed}-${i}`, `s${i}`));
        await cluster.clock.run(50);
      }
      await cluster.clock.finish('all', Promise.all(pending), 60000);
      assert.is(drainings.length, 1);
      assert.ok(
        cluster.servers.executed.some(
          (execution) => execution.server === 'm1' && execution.began > startedAt,
        ),
        'the isolated front kept using the server',
      );
      assertNoBreach(recordsOf(cluster, { drainings }));
    }
  },
);

draining.run();
