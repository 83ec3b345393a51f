import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { everyFault, Storm } from '@tillerstair/sim';
import { checkRecords } from '@tillerstair/checker';
import { assertNoBreach, configText } from './util.js';

const storms = suite('storms of every failure, by seed');

storms('the never-list is kept in twenty seeded storms, and every rule is checked', async () => {
  const proven = new Set<string>();
  const caused = new Set<string>();
  for (let seed = 1; seed <= 20; seed++) {
    const storm = new Storm({
      seed, sizes: { controls: 5, stores: 3, fronts: 3 }, ms: 40000, faults: everyFault, config: (base, pool, extra) => configText(base, pool, 'shop', extra),
    });
    const records = await storm.run();
    try {
      assertNoBreach(records);
    } catch (e) {
      throw new Error(`seed ${seed}: ${storm.log.join(' | ')}\n${String(e)}`);
    }
    for (const v of checkRecords(records)) if (v.checked > 0) proven.add(v.rule);
    for (const line of storm.log) caused.add(line.split(' ')[1] ?? '');
  }
  assert.is(proven.size, 12);
  const missed = everyFault.filter((f) => !caused.has(f));
  assert.equal(missed, []);
});

storms.run();
