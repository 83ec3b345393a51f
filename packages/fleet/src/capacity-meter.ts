/** Measures the processor time and the heap of this process. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Disk, DiskFile } from '@tillerstair/journal';

const warmUpMs = 100;
const minMeasuredMs = 300;

/** Processor time used since `since`, in ms. */
const cpuMsSince = (since: NodeJS.CpuUsage): number => {
  const { user, system } = process.cpuUsage(since);
  return (user + system) / 1000;
};

/** Repeats `work` at least 3 times and for `minMs` ms of processor time; returns the mean time of one run, in ms. */
const repeat = (work: () => unknown, minMs: number): number => {
  const start = process.cpuUsage();
  let runs = 0;
  while (runs < 3 || cpuMsSince(start) < minMs) {
    work();
    runs++;
  }
  return cpuMsSince(start) / runs;
};

/** Mean processor time of one run of `work`, in ms: measured over 300 ms or more, after 100 ms of warm-up. */
export const cpuMs = (work: () => unknown): number => {
  repeat(work, warmUpMs);
  return repeat(work, minMeasuredMs);
};

/** Processor time of a single run of `work`, in ms. */
export const cpuMsOnce = async (work: () => Promise<unknown>): Promise<number> => {
  const start = process.cpuUsage();
  await work();
  return cpuMsSince(start);
};

/** Forces a garbage collection. */
const collectGarbage = (): void => {
  setFlagsFromString('--expose_gc');
  runInNewContext('gc()');
};

/** Heap in use after a garbage collection, in MB. */
export const heapMb = (): number => {
  collectGarbage();
  collectGarbage();
  return process.memoryUsage().heapUsed / 1e6;
};

/** Returns the value that `make` creates and the heap that it retains, in MB. */
export const retainedMb = async <T>(make: () => T | Promise<T>): Promise<readonly [T, number]> => {
  const before = heapMb();
  const made = await make();
  return [made, heapMb() - before];
};

/**
 * Wraps a disk so that `close` closes every file that was opened through it; for users that do not close their files.
 */
export const trackOpenFiles = (disk: Disk): { disk: Disk; close: () => Promise<void> } => {
  const files: DiskFile[] = [];
  const open = async (name: string): Promise<DiskFile> => {
    const file = await disk.open(name);
    files.push(file);
    return file;
  };
  return {
    disk: { open, setAside: (name) => disk.setAside(name) },
    close: async () => {
      for (const file of files) await file.close();
    },
  };
};
