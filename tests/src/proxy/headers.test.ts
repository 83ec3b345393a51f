/** Which headers go on to the next connection (RFC 9110, section 7.6.1). */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { endToEndHeaders, headerPairs, hopByHopHeaders } from '@tillerstair/proxy';

const headers = suite('headers that are forwarded');

headers('pairs of name and value come in the order received, repeats included', () => {
  assert.equal(headerPairs(['A', '1', 'b', '2', 'A', '3']), [
    ['A', '1'],
    ['b', '2'],
    ['A', '3'],
  ]);
});

headers('headers of one connection do not go on, whatever their case', () => {
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

headers('headers that Connection names do not go on', () => {
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
