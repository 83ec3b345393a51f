/** Stores that lose their disks in turn while slots hold much history and callers go on writing. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { ReplyRecord } from '@tillerstair/checker';
import type { World, WorldOptions } from '@tillerstair/sim';
import { isFullyReplicated, loseDisk, storeIdOf } from '../support/replica-cluster.js';
import { assertNoBreach, recordsOf, worldUp } from '../support/world-helpers.js';

const largeSlots = suite('slots with much history');

/** The bounds of a deployment that counts a store as lost until `catchUpMs` after its return, in ms. */
const catchUpMs = 4800;
const recoverMs = 12000;
const powerlessMs = 1000;
const deployment: WorldOptions = {
  controls: 3,
  stores: 3,
  fronts: 2,
  configuredBounds: {
    serveWithin: recoverMs,
    drainingWithin: 3000,
    heartbeatInterval: 500,
    failureTimeout: 1800,
  },
};

const largePrograms = 2;
const turnsOfProgram = 80;
const promptCharacters = 140_000;
/** Turns of one program that are under way at the same time. */
const turnsAtOnce = 10;
const writeIntervalMs = 150;

/** A program with a history of some ten megabytes, all in one slot. */
const programWithHistory = async (world: World): Promise<string> => {
  const { program } = await world.program(1_000_000);
  for (let first = 0; first < turnsOfProgram; first += turnsAtOnce) {
    const turns = Array.from({ length: turnsAtOnce }, (_, i) => {
      const prompt = `${'x'.repeat(promptCharacters)} #${world.seed}-${program}-${first + i}`;
      return world.turn(program, null, prompt, `h${first + i}`);
    });
    for (const { reported, errorCode } of await Promise.all(turns))
      assert.is(reported, 'done', errorCode);
  }
  return program;
};

/** Small turns at an even rate until `stopped`; resolves with those that were done. */
const writeUntil = async (
  world: World,
  programs: readonly string[],
  stopped: AbortSignal,
): Promise<readonly ReplyRecord[]> => {
  const replies: Promise<ReplyRecord>[] = [];
  for (let n = 0; !stopped.aborted; n++) {
    const program = programs[n % programs.length] ?? '';
    replies.push(world.turn(program, null, `w #${world.seed}-${n}`, `w${n}`));
    await new Promise<void>((resolve) => {
      world.clock.after(writeIntervalMs, resolve);
    });
  }
  return (await Promise.all(replies)).filter(({ reported }) => reported === 'done');
};

// Guards against a refill whose pace knows neither the size of a slot nor catchUpS: the next store's loss then takes the
// second of three replicas, and the slot is never served again (LOST).
largeSlots(
  'three stores lose their disks in turn, each once the one before had catchUpS',
  async () => {
    const world = await worldUp(31, deployment);
    const programs = await world.clock.finish(
      'histories',
      Promise.all(Array.from({ length: largePrograms }, () => programWithHistory(world))),
      120_000,
    );
    const small = await world.clock.finish('program', world.program(1_000_000), 10_000);
    const stopped = new AbortController();
    const writes = writeUntil(world, [...programs, small.program], stopped.signal);
    const lostIds: string[] = [];
    for (const store of world.of('store')) {
      lostIds.push(storeIdOf(store));
      loseDisk(store);
      await world.clock.run(powerlessMs);
      store.start();
      await world.clock.run(catchUpMs);
      assert.ok(isFullyReplicated(world, lostIds), `${store.addr} is not filled after catchUpS`);
    }
    stopped.abort();
    const written = await world.clock.finish('writes', writes, 60_000);
    assert.ok(written.length > 0);
    for (const { program, turn, text } of world.reported.filter(
      ({ kind, reported }) => kind === 'turn' && reported === 'done',
    )) {
      const fetched = await world.clock.finish('fetch', world.fetch(program, turn), recoverMs);
      assert.is(fetched.text, text);
    }
    assertNoBreach(recordsOf(world));
  },
);

largeSlots.run();
