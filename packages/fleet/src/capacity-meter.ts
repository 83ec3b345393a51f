/** Measures processor time and memory of this process. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Disk, DiskFile } from '@tillerstair/journal';

const warmMs = 100;
const leastMs = 300;

const spent = (since: NodeJS.CpuUsage): number => {
  const { user, system } = process.cpuUsage(since);
  return (user + system) / 1000;
};

const repeat = (work: () => unknown, least: number): number => {
  const t0 = process.cpuUsage();
  let times = 0;
  while (times < 3 || spent(t0) < least) {
    work();
    times++;
  }
  return spent(t0) / times;
};

/** Processor milliseconds of one run of `work`: the mean of runs that last 300 ms or more, after 100 ms that are not counted. */
export const meanCpuMs = (work: () => unknown): number => {
  repeat(work, warmMs);
  return repeat(work, leastMs);
};

/** Processor milliseconds of one run of `work`. */
export const cpuMsOnce = async (work: () => Promise<unknown>): Promise<number> => {
  const t0 = process.cpuUsage();
  await work();
  return spent(t0);
};

const collect = (): void => {
  setFlagsFromString('--expose_gc');
  runInNewContext('gc()');
};

/** Megabytes of heap in use, after what can be collected was. */
export const heapMb = (): number => {
  collect();
  collect();
  return process.memoryUsage().heapUsed / 1e6;
};

/** Megabytes of heap that what `make` returns keeps. */
export const retainedMb = async <T>(make: () => T | Promise<T>): Promise<readonly [T, number]> => {
  const before = heapMb();
  const made = await make();
  return [made, heapMb() - before];
};

/** A disk that knows the files opened on it, so that they can be closed when no owner does it. */
export const trackOpenFiles = (disk: Disk): { disk: Disk; close: () => Promise<void> } => {
  const files: DiskFile[] = [];
  const open = async (name: string): Promise<DiskFile> => {
    const f = await disk.open(name);
    files.push(f);
    return f;
  };
  return {
    disk: { open, setAside: (name) => disk.setAside(name) },
    close: async () => {
      for (const f of files) await f.close();
    },
  };
};
