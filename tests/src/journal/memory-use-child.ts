/** Run by journal-memory.test.ts in a process of its own: opens a store's log, writes until it is rewritten, tells its memory. */
import { FolderDisk } from '@tillerstair/journal';
import { ReplicaStore } from '@tillerstair/store';
import { hostClock } from '@tillerstair/wire';

const writesAtOnce = 100;
const mb = 1 << 20;
const longAt = mb;

const [dir = '', keys = '0', valueBytes = '0'] = process.argv.slice(2);

const peakMb = (): number => process.resourceUsage().maxRSS / 1024;

const main = async (): Promise<void> => {
  const startMb = process.memoryUsage().rss / mb;
  const disk = await FolderDisk.acquire(dir);
  const replicaStore = await ReplicaStore.open(disk, hostClock, {
    rewriteMinBytes: longAt,
    retentionMs: 1e9,
    maxHints: 10,
  });
  const openedMb = peakMb();
  const opened = replicaStore.counts();
  let seq = 10;
  let most = opened.bytes;
  let last = opened.bytes;
  while (last >= most) {
    most = last;
    seq++;
    for (let n = 0; n < Number(keys); n += writesAtOnce)
      await Promise.all(
        Array.from({ length: writesAtOnce }, (_, i) => {
          const key = `o/t/${n + i}`;
          return replicaStore.write(1, 1, [
            { key, ownershipEpoch: 1, seq, value: `${seq}`.padEnd(Number(valueBytes), 'é') },
          ]);
        }),
      );
    last = replicaStore.counts().bytes;
  }
  await disk.release();
  process.stdout.write(
    JSON.stringify({
      startMb,
      openedMb,
      rewrittenMb: peakMb(),
      items: opened.items,
      mostBytes: most,
      leftBytes: last,
    }),
  );
  process.exit(0);
};

await main();
