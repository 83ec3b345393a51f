/** Which headers are forwarded to the next connection (RFC 9110, section 7.6.1). */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { endToEndHeaders, headerPairs, hopByHopHeaders } from '@tillerstair/proxy';

const headers = suite('forwarded headers');

headers('name-value pairs keep their order and repetitions', () => {
  assert.equal(headerPairs(['A', '1', 'b', '2', 'A', '3']), [
    ['A', '1'],
    ['b', '2'],
    ['A', '3'],
  ]);
});

headers('hop-by-hop headers are not forwarded, whatever their case', () => {
  for (const name of hopByHopHeaders)
    assert.equal(
      endToEndHeaders([
        [name.toUpperCase(), 'x'],
        ['X-Own', '1'],
      ]),
      [['X-Own', '1']],
      name,
    );
});

headers('headers named in Connection are not forwarded', () => {
  assert.equal(
    endToEndHeaders([
      ['Connection', 'X-One, x-two'],
      ['x-one', '1'],
      ['X-Two', '2'],
      ['X-Three', '3'],
    ]),
    [['X-Three', '3']],
  );
});

headers.run();
