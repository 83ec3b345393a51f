/**
 * Child process of memory-use.test.ts: opens a store's log, writes until the log is rewritten, and reports its memory
 * use.
 */
import { FolderDisk } from '@tillerstair/journal';
import { ReplicaStore } from '@tillerstair/store';
import { hostClock } from '@tillerstair/wire';

const concurrentWrites = 100;
const mb = 1 << 20;
const rewriteMinBytes = mb;

const [folder = '', keys = '0', valueBytes = '0'] = process.argv.slice(2);

const peakMb = (): number => process.resourceUsage().maxRSS / 1024;

const main = async (): Promise<void> => {
  const startMb = process.memoryUsage().rss / mb;
  const disk = await FolderDisk.acquire(folder);
  const replicaStore = await ReplicaStore.open(disk, hostClock, {
    rewriteMinBytes: rewriteMinBytes,
    retentionMs: 1e9,
    maxHints: 10,
  });
  const openedMb = peakMb();
  const opened = replicaStore.counts();
  let seq = 10;
  let maxBytes = opened.bytes;
  let currentBytes = opened.bytes;
  while (currentBytes >= maxBytes) {
    maxBytes = currentBytes;
    seq++;
    for (let firstKey = 0; firstKey < Number(keys); firstKey += concurrentWrites)
      await Promise.all(
        Array.from({ length: concurrentWrites }, (_, i) => {
          const key = `o/t/${firstKey + i}`;
          return replicaStore.write(1, 1, [
            { key, ownershipEpoch: 1, seq, value: `${seq}`.padEnd(Number(valueBytes), 'é') },
          ]);
        }),
      );
    currentBytes = replicaStore.counts().bytes;
  }
  await disk.release();
  process.stdout.write(
    JSON.stringify({
      startMb,
      openedMb,
      rewrittenMb: peakMb(),
      items: opened.items,
      mostBytes: maxBytes,
      leftBytes: currentBytes,
    }),
  );
  process.exit(0);
};

await main();
