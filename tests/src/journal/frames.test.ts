/** Which lines of a log are valid frames, and which end the log or are an error. */
import { crc32 } from 'node:zlib';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { Digest, encodeFrame, JournalDamagedError, LogScanner } from '@tillerstair/journal';

const frames = suite('journal frames');

/** Scans a log of these lines; `good` is the length of its valid part, in bytes. */
const scan = (...lines: readonly Buffer[]): { records: readonly unknown[]; good: number } => {
  const records: unknown[] = [];
  const scanner = new LogScanner('a.log', (record) => void records.push(record));
  for (const line of lines) scanner.add(line);
  return { records, good: scanner.validBytes };
};

const firstFrame = encodeFrame([{ n: 1 }]);
const onlyFirstFrame = { records: [{ n: 1 }], good: firstFrame.length };

const checksummed = (json: string, separator = ' '): Buffer =>
  Buffer.from(`${crc32(json).toString(16).padStart(8, '0')}${separator}${json}\n`);

frames('batches are read in the order in which they were written', () => {
  const twoRecords = encodeFrame([{ n: 2 }, { n: 3 }]);
  assert.equal(scan(firstFrame, twoRecords), {
    records: [{ n: 1 }, { n: 2 }, { n: 3 }],
    good: firstFrame.length + twoRecords.length,
  });
});

frames('a last line with a wrong checksum is cut off', () => {
  const line = encodeFrame([{ n: 2 }]);
  line[0] = line[0] === 48 ? 49 : 48;
  assert.equal(scan(firstFrame, line), onlyFirstFrame);
});

frames('a last line without the separator is cut off', () => {
  assert.equal(scan(firstFrame, checksummed('[{"n":2}]', 'x')), onlyFirstFrame);
});

frames('a last line that is not a batch is cut off, even with a correct checksum', () => {
  for (const json of ['{"n":2}', '7', 'null', '"text"'])
    assert.equal(scan(firstFrame, checksummed(json)), onlyFirstFrame, json);
});

frames('a valid line after a damaged one is an error, not a torn tail', () => {
  assert.throws(
    () => scan(firstFrame, checksummed('{"n":2}'), encodeFrame([{ n: 3 }])),
    (error: unknown) =>
      error instanceof JournalDamagedError && error.message.includes(`byte ${firstFrame.length} `),
  );
});

frames('digests differ if the bytes or the lengths differ', () => {
  const digestOf = (...bytes: readonly number[]): Digest => {
    const digest = new Digest();
    digest.add(Buffer.from(bytes));
    return digest;
  };
  assert.is(digestOf(1, 2).equals(digestOf(1, 2)), true);
  assert.is(digestOf(1, 2).equals(digestOf(1, 3)), false);
  const zeroChecksum = [0x9d, 0x0a, 0xd9, 0x6d];
  assert.is(crc32(Buffer.from(zeroChecksum)), crc32(Buffer.alloc(0)));
  assert.is(digestOf(...zeroChecksum).equals(digestOf()), false);
});

frames.run();
