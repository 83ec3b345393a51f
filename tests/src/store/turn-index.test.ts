/** A store finds a turn by its name under whichever program it holds it. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import type { Item } from '@tillerstair/state';
import { Incarnation, seededRng, SimClock, SimDrive } from '@tillerstair/sim';
import { ReplicaStore, type ReplicaStoreLimits } from '@tillerstair/store';

const index = suite('the index of turns');

const epoch = 1;
const retentionMs = 60_000;
const limits: ReplicaStoreLimits = { rewriteMinBytes: 1 << 30, retentionMs, maxHints: 10 };
const slotOf = { long: 1, short: 2, third: 3 } as const;
type Program = keyof typeof slotOf;

const turnOf = (program: Program, turn: string, after: string, status = 'done'): Item => ({
  key: `p/${program}/t/${turn}`,
  ownershipEpoch: epoch,
  seq: 1,
  value: { t: 'pass', status, after, cost: 0, input: '', output: '' },
});

class Fixture {
  readonly clock = new SimClock();
  private readonly drive = new SimDrive(seededRng(1));
  private opened: ReplicaStore | undefined;

  get store(): ReplicaStore {
    if (!this.opened) throw new Error('the store is not open');
    return this.opened;
  }

  async open(): Promise<void> {
    const disk = this.drive.disk(this.clock, new Incarnation());
    this.opened = await this.finish(ReplicaStore.open(disk, this.clock, limits));
  }

  finish<Result>(work: Promise<Result>): Promise<Result> {
    return this.clock.finish('work', work, 10_000);
  }

  write(program: Program, turn: string, after: string, status?: string): Promise<void> {
    const item = turnOf(program, turn, after, status);
    return this.finish(this.store.write(slotOf[program], epoch, [item]));
  }

  keysOf(turn: string): readonly string[] {
    return this.store.findTurns(turn).map(({ key }) => key);
  }

  /** Lets the items expire that were written until now. */
  async expire(): Promise<void> {
    await this.clock.run(retentionMs + 1);
  }
}

const open = async (): Promise<Fixture> => {
  const fixture = new Fixture();
  await fixture.open();
  return fixture;
};

// Guards against a turn that is kept and not found, 404, once another program's copy of it was dropped (LOST).
index('a turn is found under its own program after copies of it expired', async () => {
  const fixture = await open();
  await fixture.write('long', 'a-1', '');
  await fixture.write('short', 'a-1', '');
  await fixture.write('short', 'b-1', 'a-1');
  await fixture.expire();
  await fixture.write('long', 'a-2', 'a-1');
  await fixture.finish(fixture.store.dropExpired());
  assert.equal(fixture.keysOf('a-2'), ['p/long/t/a-2', 'p/long/t/a-1']);
  assert.equal(fixture.keysOf('a-1'), ['p/long/t/a-1']);
  assert.equal(fixture.keysOf('b-1'), []);
});

index('a turn is found under a program that copied it after its own program expired', async () => {
  const fixture = await open();
  await fixture.write('long', 'a-1', '');
  await fixture.write('short', 'a-1', '');
  await fixture.write('third', 'a-1', '');
  await fixture.expire();
  await fixture.write('short', 'b-1', 'a-1');
  await fixture.finish(fixture.store.dropExpired());
  assert.equal(fixture.keysOf('b-1'), ['p/short/t/b-1', 'p/short/t/a-1']);
});

index('copies of copies are found after a restart, whichever slots moved away', async () => {
  for (const remaining of ['long', 'short', 'third'] as const) {
    const fixture = await open();
    await fixture.write('long', 'a-1', '');
    await fixture.write('short', 'a-1', '');
    await fixture.write('third', 'a-1', '');
    await fixture.open();
    const reassigned = (slot: number): number => (slot === slotOf[remaining] ? -1 : epoch);
    await fixture.finish(fixture.store.dropReassignedSlots(reassigned));
    assert.equal(fixture.keysOf('a-1'), [`p/${remaining}/t/a-1`]);
    await fixture.open();
    assert.equal(fixture.keysOf('a-1'), [`p/${remaining}/t/a-1`]);
    await fixture.finish(fixture.store.dropReassignedSlots(() => epoch));
    assert.equal(fixture.keysOf('a-1'), []);
  }
});

index('a done turn is preferred to one of the same name that is not done', async () => {
  for (const [first, second] of [
    ['reserved', 'done'],
    ['done', 'failed'],
  ]) {
    const fixture = await open();
    await fixture.write('long', 'a-1', '', first);
    await fixture.write('short', 'a-1', '', second);
    const done = first === 'done' ? 'long' : 'short';
    assert.equal(fixture.keysOf('a-1'), [`p/${done}/t/a-1`]);
  }
});

index('a turn that is overwritten has one place still', async () => {
  const fixture = await open();
  await fixture.write('long', 'a-1', '', 'reserved');
  const item = { ...turnOf('long', 'a-1', ''), seq: 2 };
  await fixture.finish(fixture.store.write(slotOf.long, epoch, [item]));
  await fixture.finish(fixture.store.dropReassignedSlots(() => epoch));
  assert.equal(fixture.keysOf('a-1'), []);
});

index('turns that name each other end the search', async () => {
  const fixture = await open();
  await fixture.write('long', 'a-1', 'a-2');
  await fixture.write('long', 'a-2', 'a-1');
  assert.equal(fixture.keysOf('a-2'), ['p/long/t/a-2', 'p/long/t/a-1']);
});

index.run();
