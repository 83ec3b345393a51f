import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { seededRng } from '@tillerstair/sim';
import { EventSplitter } from '@tillerstair/session-owner';

const events = suite('events of a stream');

interface Seen {
  readonly passed: string;
  readonly count: number;
  readonly lastId: string;
  readonly data: string;
  readonly torn: boolean;
}

const fed = (parts: readonly string[]): Seen => {
  const e = new EventSplitter();
  const passed = parts.map((p) => e.push(p)).join('');
  return { passed, count: e.count, lastId: e.lastId, data: e.data, torn: e.endsWithinEvent };
};

const made = (
  rng: () => number,
): {
  readonly text: string;
  readonly data: string;
  readonly lastId: string;
  readonly count: number;
} => {
  const bytes = (n: number): string =>
    Array.from({ length: n }, () => String.fromCharCode(Math.floor(rng() * 256)))
      .join('')
      .replaceAll(/[\r\n]/g, 'x');
  let text = '';
  let data = '';
  let lastId = '';
  let count = 0;
  for (let n = 0; n < 6; n++) {
    const eol = rng() < 0.5 ? '\n' : '\r\n';
    const lines = Array.from(
      { length: 1 + Math.floor(rng() * 3) },
      () => `x${bytes(Math.floor(rng() * 12))}`,
    );
    if (rng() < 0.2) text += `: a comment${eol}${eol}`;
    if (rng() < 0.8) {
      lastId = String(n);
      text += `id: ${lastId}${eol}`;
    }
    if (rng() < 0.2) text += `event: piece${eol}`;
    text += lines.map((l) => `data:${rng() < 0.5 ? ' ' : ''}${l}${eol}`).join('') + eol;
    data += `${lines.join('\n')}\n`;
    count++;
  }
  return { text, data, lastId, count };
};

events('a stream split at any byte gives the same events', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const { text, data, lastId, count } = made(seededRng(seed));
    for (let at = 0; at <= text.length; at++)
      assert.equal(
        fed([text.slice(0, at), text.slice(at)]),
        { passed: text, count, lastId, data, torn: false },
        `seed ${seed}, byte ${at}`,
      );
    assert.equal(
      fed(text.split('')),
      { passed: text, count, lastId, data, torn: false },
      `seed ${seed}, byte by byte`,
    );
  }
});

events('lines of one event may end in different ways', () => {
  for (const text of [
    'id: 1\r\ndata: a\n\r\n',
    'id: 1\ndata: a\r\n\n',
    'id: 1\r\ndata: a\r\n\r\n',
  ]) {
    const got = fed(text.split(''));
    assert.equal([got.count, got.lastId, got.data], [1, '1', 'a\n'], JSON.stringify(text));
  }
});

events('an event cut at any byte is never passed on as whole', () => {
  const whole = 'id: 7\ndata: seven\n\n';
  const next = 'id: 8\ndata: eight\n\n';
  for (let at = 1; at < next.length; at++) {
    const got = fed([whole, next.slice(0, at)]);
    assert.equal(
      got,
      { passed: whole, count: 1, lastId: '7', data: 'seven\n', torn: true },
      `byte ${at}`,
    );
  }
});

events('what another server goes on with joins after the last whole event', () => {
  const e = new EventSplitter();
  let out = e.push('id: 1\ndata: a\n\nid: 2\nda');
  e.dropIncompleteEvent();
  out += e.push('id: 2\ndata: b\n\n');
  assert.is(out, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  assert.equal([e.count, e.data, e.endsWithinEvent], [2, 'a\nb\n', false]);
});

events('bytes after the last event are kept, and an event without an id is known', () => {
  const e = new EventSplitter();
  e.push('id: 1\ndata: a\n\n\r\n ');
  assert.equal([e.trailingBytes, e.endsWithinEvent, e.lastEventHasNoId], [' ', false, false]);
  const f = new EventSplitter();
  f.push('id: 1\ndata: a\n\ndata: b\n\n');
  assert.equal([f.trailingBytes, f.lastId, f.lastEventHasNoId], ['', '1', true]);
});

events('data may be empty and may begin with spaces', () => {
  const got = fed(['data\n\ndata:  two\n\ndata:\n\n']);
  assert.equal([got.count, got.data], [3, '\n two\n\n']);
});

events.run();
