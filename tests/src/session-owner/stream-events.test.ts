/** Splitting of server-sent events that arrive in arbitrary pieces. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { seededRng } from '@tillerstair/sim';
import { EventSplitter } from '@tillerstair/session-owner';

const events = suite('event splitter');

/** The state of a splitter after all its input. */
interface SplitResult {
  readonly passed: string;
  readonly count: number;
  readonly lastId: string;
  readonly data: string;
  readonly endsWithinEvent: boolean;
}

const split = (parts: readonly string[]): SplitResult => {
  const splitter = new EventSplitter();
  const passed = parts.map((part) => splitter.push(part)).join('');
  return {
    passed,
    count: splitter.count,
    lastId: splitter.lastId,
    data: splitter.data,
    endsWithinEvent: splitter.endsWithinEvent,
  };
};

/** A random stream of six events and comments, with the expected result. */
const randomStream = (
  rng: () => number,
): {
  readonly text: string;
  readonly data: string;
  readonly lastId: string;
  readonly count: number;
} => {
  const randomBytes = (length: number): string =>
    Array.from({ length }, () => String.fromCharCode(Math.floor(rng() * 256)))
      .join('')
      .replaceAll(/[\r\n]/g, 'x');
  let text = '';
  let data = '';
  let lastId = '';
  let count = 0;
  for (let i = 0; i < 6; i++) {
    const eol = rng() < 0.5 ? '\n' : '\r\n';
    const lines = Array.from(
      { length: 1 + Math.floor(rng() * 3) },
      () => `x${randomBytes(Math.floor(rng() * 12))}`,
    );
    if (rng() < 0.2) text += `: a comment${eol}${eol}`;
    if (rng() < 0.8) {
      lastId = String(i);
      text += `id: ${lastId}${eol}`;
    }
    if (rng() < 0.2) text += `event: piece${eol}`;
    text += lines.map((line) => `data:${rng() < 0.5 ? ' ' : ''}${line}${eol}`).join('') + eol;
    data += `${lines.join('\n')}\n`;
    count++;
  }
  return { text, data, lastId, count };
};

events('a stream split at any byte gives the same events', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const { text, data, lastId, count } = randomStream(seededRng(seed));
    for (let offset = 0; offset <= text.length; offset++)
      assert.equal(
        split([text.slice(0, offset), text.slice(offset)]),
        { passed: text, count, lastId, data, endsWithinEvent: false },
        `seed ${seed}, byte ${offset}`,
      );
    assert.equal(
      split(text.split('')),
      { passed: text, count, lastId, data, endsWithinEvent: false },
      `seed ${seed}, byte by byte`,
    );
  }
});

events('the lines of an event may have different line endings', () => {
  for (const text of [
    'id: 1\r\ndata: a\n\r\n',
    'id: 1\ndata: a\r\n\n',
    'id: 1\r\ndata: a\r\n\r\n',
  ]) {
    const result = split(text.split(''));
    assert.equal([result.count, result.lastId, result.data], [1, '1', 'a\n'], JSON.stringify(text));
  }
});

events('an event that is cut at any byte is not passed on', () => {
  const complete = 'id: 7\ndata: seven\n\n';
  const next = 'id: 8\ndata: eight\n\n';
  for (let offset = 1; offset < next.length; offset++) {
    const result = split([complete, next.slice(0, offset)]);
    assert.equal(
      result,
      { passed: complete, count: 1, lastId: '7', data: 'seven\n', endsWithinEvent: true },
      `byte ${offset}`,
    );
  }
});

events('a resumed stream continues after the last complete event', () => {
  const splitter = new EventSplitter();
  let passed = splitter.push('id: 1\ndata: a\n\nid: 2\nda');
  splitter.dropIncompleteEvent();
  passed += splitter.push('id: 2\ndata: b\n\n');
  assert.is(passed, 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
  assert.equal([splitter.count, splitter.data, splitter.endsWithinEvent], [2, 'a\nb\n', false]);
});

events('bytes after the last event are kept, and an event without an id is detected', () => {
  const withTrailingBytes = new EventSplitter();
  withTrailingBytes.push('id: 1\ndata: a\n\n\r\n ');
  assert.equal(
    [
      withTrailingBytes.trailingBytes,
      withTrailingBytes.endsWithinEvent,
      withTrailingBytes.lastEventHasNoId,
    ],
    [' ', false, false],
  );
  const withoutId = new EventSplitter();
  withoutId.push('id: 1\ndata: a\n\ndata: b\n\n');
  assert.equal(
    [withoutId.trailingBytes, withoutId.lastId, withoutId.lastEventHasNoId],
    ['', '1', true],
  );
});

events('data may be empty and may begin with spaces', () => {
  const result = split(['data\n\ndata:  two\n\ndata:\n\n']);
  assert.equal([result.count, result.data], [3, '\n two\n\n']);
});

events.run();
