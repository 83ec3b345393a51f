/** Keys of earlier configuration files that were renamed. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { checkConfig } from '@tillerstair/state';

const keys = suite('keys of earlier configuration files');

const file = (key: string): string =>
  JSON.stringify({
    base: 0,
    pools: [{ name: 'm', kind: 'model' }],
    [key]: [
      { name: 'chat', match: { kind: 'turn', path: '/chat' }, shares: [{ pool: 'm', share: 1 }] },
    ],
  });

keys('a key that was renamed is a finding that names the new one', () => {
  const oldKey = ['la', 'nes'].join('');
  const { config, findings } = checkConfig(file(oldKey));
  assert.is(config, undefined);
  assert.equal(findings, [{ place: oldKey, text: 'unknown key; renamed to routes' }]);
  assert.equal(checkConfig(file('routes')).findings, []);
});

keys.run();
