import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { deploymentOf, faultKinds, planOf, Storm } from '@tillerstair/sim';
import { checkRecords } from '@tillerstair/checker';
import { assertNoBreach } from './util.js';

const storms = suite('storms of every failure, by seed');
const part = (name: string, seeds: readonly number[]): void => {
  storms(name, async () => {
    const proven = new Set<string>();
    const struck = new Set<string>();
    for (const seed of seeds) {
      const storm = new Storm({ seed, sizes: deploymentOf(seed), ms: 40000, plan: planOf(seed, 40000, faultKinds), chats: 40 });
      try {
        const records = await storm.run();
        assertNoBreach(records);
        for (const v of checkRecords(records)) if (v.checked > 0) proven.add(v.rule);
        for (const f of storm.struck) struck.add(f);
      } catch (e) {
        throw new Error(`seed ${seed}: ${storm.log.join(' | ')}\n${String(e)}`);
      }
    }
    if (seeds.length < 10) return;
    assert.is(proven.size, 21);
    assert.equal(faultKinds.filter((f) => !struck.has(f)), []);
  });
};

part('the never-list is kept in seeded storms, every rule is checked, every failure struck', Array.from({ length: 24 }, (_, i) => i + 1));
part('eight fronts', [100]);

storms.run();
