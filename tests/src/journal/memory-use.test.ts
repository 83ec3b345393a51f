/** Peak memory while a large log is opened and rewritten, measured in a child process. */
import { execFile } from 'node:child_process';
import { mkdtemp, open, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { z } from 'zod';
import { encodeFrame } from '@tillerstair/journal';

const memory = suite('memory use of a journal');

const mb = 1 << 20;
const keys = 16000;
const valueBytes = 1200;
const writesPerKey = 2;

/** Limits of the peak memory above that of the started process, in MB; the live records are about 20 MB of text. */
const maxOpenPeakMb = 80;
const maxRewritePeakMb = 145;

const ChildReport = z.object({
  startMb: z.number(),
  openedMb: z.number(),
  rewrittenMb: z.number(),
  items: z.number(),
  mostBytes: z.number(),
  leftBytes: z.number(),
});

/** Writes a store's log that contains each key `writesPerKey` times; resolves with its size in bytes. */
const writeLog = async (path: string): Promise<number> => {
  const file = await open(path, 'w');
  let bytes = 0;
  for (let seq = 1; seq <= writesPerKey; seq++) {
    const frames: Buffer[] = [];
    for (let i = 0; i < keys; i++)
      frames.push(
        encodeFrame([
          {
            t: 'put',
            slot: 1,
            ownershipEpoch: 1,
            items: [
              { key: `o/t/${i}`, ownershipEpoch: 1, seq, value: `${seq}`.padEnd(valueBytes, 'x') },
            ],
          },
        ]),
      );
    const batchBytes = Buffer.concat(frames);
    await file.writeFile(batchBytes);
    bytes += batchBytes.length;
  }
  await file.close();
  return bytes;
};

memory('a log of 40 MB is opened and rewritten without being loaded as a whole', async () => {
  const dir = await mkdtemp(join(tmpdir(), 'tillerstair-memory-'));
  try {
    const bytes = await writeLog(join(dir, 'store.log'));
    assert.ok(bytes > 38 * mb, `${bytes} bytes`);
    const child = fileURLToPath(new URL('./memory-use-child.js', import.meta.url));
    const { stdout } = await promisify(execFile)(process.execPath, [
      child,
      dir,
      String(keys),
      String(valueBytes),
    ]);
    const report = ChildReport.parse(JSON.parse(stdout));
    assert.is(report.items, keys);
    assert.ok(report.leftBytes < report.mostBytes, 'the log was not rewritten');
    const openPeakMb = report.openedMb - report.startMb;
    const rewritePeakMb = report.rewrittenMb - report.startMb;
    assert.ok(openPeakMb < maxOpenPeakMb && rewritePeakMb < maxRewritePeakMb, stdout);
  } finally {
    await rm(dir, { recursive: true });
  }
});

memory.run();
