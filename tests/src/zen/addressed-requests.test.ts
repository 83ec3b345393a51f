/** Requests that name their addressee: a node that has taken over the address of another must refuse them. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { type Member } from '@tillerstair/state';
import { requireAddressee } from '@tillerstair/zen';
import { a, b } from '../support/zen-fixtures.js';

const addressed = suite('a request addressed to a node');

const request = (kind: string, to: string) => ({ from: a.addr, kind, body: { from: a, to } });

for (const kind of ['zen/validate', 'zen/publish', 'zen/commit', 'zen/node-ping'])
  addressed(`${kind} is refused by every other node`, () => {
    const learned: Member[] = [];
    requireAddressee(b, request(kind, 'b'), (from) => learned.push(from));
    assert.throws(() => {
      requireAddressee(b, request(kind, 'c'), (from) => learned.push(from));
    }, /another node/);
    assert.equal(learned, [a, a]);
  });

addressed('a ping names no addressee and is answered by any node at the address', () => {
  requireAddressee(b, { from: a.addr, kind: 'zen/ping', body: {} }, () => assert.unreachable());
});

addressed.run();
