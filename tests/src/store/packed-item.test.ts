/** Items that a store packs come back as they were stored, and take the memory of their bytes. */
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { PackedItem, packItem } from '@tillerstair/store';

const packing = suite('packed items');

const long = 100;
const allBytes = Buffer.from(Array.from({ length: 256 }, (_, i) => i));
const base64 = allBytes.toString('base64');
const latin1 = allBytes.toString('latin1');

const itemOf = (value: unknown) => ({ key: 'p/a/t/b', ownershipEpoch: 3, seq: 7, value });

const values: readonly unknown[] = [
  null,
  0,
  'x'.repeat(long),
  [base64, latin1],
  {},
  { t: 'pass', after: '', input: base64, output: latin1, cost: 5 },
  { input: base64, nested: { output: latin1.repeat(2) }, list: [1, 'two'] },
  ...[0, 1, 2].map((extra) => ({ input: Buffer.alloc(long + extra, 255).toString('base64') })),
  ...['AB==', 'ABC=', 'A===', '====', 'AA=A', 'A-_A'].map((end) => ({
    input: 'A'.repeat(long) + end,
  })),
  // Not what encoding the decoded bytes would give, so that it must not be stored as bytes.
  { input: `${'A'.repeat(long - 1)}=`, odd: `${base64.slice(0, -2)}B=` },
  { text: `${'x'.repeat(long)}€`, surrogates: '\ud800'.repeat(long) },
  { value: base64, segments: [{ field: 'value', encoding: 'base64', length: 3 }] },
  JSON.parse(`{"__proto__": "${'p'.repeat(long)}", "constructor": "${base64}"}`),
];

packing('every value comes back as it was stored, with its fields in their order', () => {
  for (const value of values) {
    const item = itemOf(value);
    assert.is(JSON.stringify(new PackedItem(item).unpack()), JSON.stringify(item));
  }
});

// Guards against stores that refuse writes while most of their memory is free (RECOVER, SHORT on gagu-host-grown).
packing('a body takes the memory of its bytes, not of its base64 text', () => {
  const body = Buffer.alloc(30_000, 7);
  const item = itemOf({ t: 'pass', status: 'done', input: body.toString('base64'), output: '' });
  const { bytes } = new PackedItem(item);
  assert.ok(bytes > body.length && bytes < body.length * 1.05, `${bytes} bytes`);
});

// Guards against searches that unpack a long conversation for each of many requests at the same time (heap, SIGABRT).
packing('an item is unpacked for JSON only when a reply is written', () => {
  const item = itemOf({ status: 'done', after: 'a'.repeat(long), input: base64 });
  const packed = new PackedItem(item);
  assert.is(JSON.stringify({ items: [packed] }), JSON.stringify({ items: [item] }));
  const picked = packed.pick(['after', 'status']);
  assert.equal(picked, { status: 'done', after: 'a'.repeat(long), input: '' });
});

// Guards against parts that do not give the JSON of the whole, at the ends of parts and for every kind of value.
packing('the parts of the JSON of an item are its JSON', () => {
  const lengths = [63, 64, 24 * 1024 - 1, 24 * 1024, 24 * 1024 + 1, 100_000];
  const texts = lengths.map((length) => Buffer.alloc(length, 'Aé"').toString('base64'));
  const turns = texts.map((input) => ({ status: 'done', input, after: '', output: input }));
  for (const value of [...values, ...turns, { input: '"é\u2028'.repeat(100), output: base64 }]) {
    const item = itemOf(value);
    assert.is([...new PackedItem(item).jsonParts()].join(''), JSON.stringify(item));
  }
});

// Guards against long strings, which stay in the heap until all of it is collected.
packing('a long body is decoded in short parts', () => {
  const input = Buffer.alloc(1_000_000, 'x').toString('base64');
  const parts = [...new PackedItem(itemOf({ input })).jsonParts()];
  assert.ok(Math.max(...parts.map(({ length }) => length)) <= 32 * 1024);
});

packing('the same item is packed once', () => {
  const item = itemOf({ input: base64 });
  assert.is(packItem(item), packItem(item));
  assert.is.not(packItem({ ...item }), packItem(item));
});

packing.run();
