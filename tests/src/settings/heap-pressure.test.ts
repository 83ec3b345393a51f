/** Garbage is collected before a process exceeds its memory, and not again and again in vain. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { HeapPressure, ProcessMemory, createFrontMemory } from '@tillerstair/settings';

const pressure = suite('memory of a process');
const mb = 1 << 20;

// Guards against a process that is killed for garbage, since its machine has less memory than its heap may take.
pressure('garbage is collected close to the limit, and again only after growth', () => {
  let usedBytes = 10 * mb;
  let collections = 0;
  const collect = (): void => {
    collections++;
    usedBytes = 80 * mb;
  };
  const watched = new HeapPressure(100 * mb, collect, () => usedBytes);
  watched.check();
  assert.is(collections, 0);
  usedBytes = 90 * mb;
  watched.check();
  watched.check();
  assert.is(collections, 1);
  usedBytes = 95 * mb;
  watched.check();
  assert.is(collections, 2);
});

// Guards against shares of one memory that add up to more than it.
pressure('the budgets of a front add up to its total', () => {
  for (const memoryMb of [64, 168, 310, undefined]) {
    const process = new ProcessMemory(memoryMb);
    const { pages, unsent, ...budgets } = createFrontMemory(process);
    assert.ok(unsent);
    const parts = [...Object.values(budgets), pages.inputMemory, pages.bodyMemory];
    const sum = parts.reduce((bytes, { limitBytes }) => bytes + limitBytes, 0);
    assert.ok(sum <= process.total.limitBytes * 1.000001, `${sum} of ${process.total.limitBytes}`);
    assert.ok(parts.every(({ total }) => total === process.total));
  }
});

pressure.run();
