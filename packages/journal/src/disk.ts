import { constants } from 'node:fs';
import { mkdir, open, readFile, rename, writeFile, unlink, type FileHandle } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';
import { hostClock, delay, type Clock } from '@tillerstair/wire';

export interface DiskFile {
  /** The bytes of the file from its start; a chunk is valid until the next one is asked for. */
  chunks(): AsyncIterable<Buffer>;
  append(bytes: Buffer): Promise<void>;
  sync(): Promise<void>;
  cut(size: number): Promise<void>;
  /** Writes the file anew; until all chunks are on disk the old one stays. */
  replace(chunks: Iterable<Buffer>): Promise<void>;
  close(): Promise<void>;
}

export interface Disk {
  open(name: string): Promise<DiskFile>;
  /** Renames a file that cannot be used to `NAME.damaged`, so that a fresh one can be opened under its name. */
  setAside(name: string): Promise<void>;
}

export class FolderInUseError extends Error {}

const diskTroubles: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT', 'EIO']);

const errorCode = (e: unknown): string => (e instanceof Error && 'code' in e ? String(e.code) : '');

/** Whether an error says that the disk takes no bytes now, which may pass by itself. */
export const isDiskTrouble = (e: unknown): boolean => diskTroubles.has(errorCode(e));

/** Where a file is written anew; what a loss of power leaves there is of no use. */
const nextOf = (path: string): string => `${path}.next`;

const lockRetryMs = 250;
const readBytes = 1 << 20;
const appendToNew = constants.O_RDWR | constants.O_CREAT | constants.O_TRUNC | constants.O_APPEND;

const alive = (pid: number): boolean => {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
};

const ended: ReadonlySet<string> = new Set(['Z', 'X']);

/** When a process began, or '' if it has ended or cannot be seen; a lock without it holds nobody off. */
const started = async (pid: number): Promise<string> => {
  try {
    const text = await readFile(`/proc/${pid}/stat`, 'utf8');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    return ended.has(fields[0] ?? '') ? '' : (fields[19] ?? '');
  } catch {
    return '';
  }
};

const syncFolder = async (dir: string): Promise<void> => {
  const h = await open(dir, constants.O_RDONLY);
  try {
    await h.sync();
  } finally {
    await h.close();
  }
};

/** Makes a folder and syncs the names of all that had to be made for it. */
const makeFolder = async (dir: string): Promise<void> => {
  const top = await mkdir(dir, { recursive: true });
  if (top === undefined) return;
  for (let at = dir; at.length >= top.length; at = dirname(at)) await syncFolder(dirname(at));
};

/** Reads a file through one buffer that is used for all its chunks. */
async function* chunksOfFile(path: string): AsyncGenerator<Buffer> {
  const file = await open(path, constants.O_RDONLY);
  try {
    const buffer = Buffer.allocUnsafe(readBytes);
    for (;;) {
      const { bytesRead } = await file.read(buffer, 0, readBytes, null);
      if (bytesRead === 0) return;
      yield buffer.subarray(0, bytesRead);
    }
  } finally {
    await file.close();
  }
}

export class FolderDisk implements Disk {
  private constructor(
    private readonly dir: string,
    private readonly lockPath: string,
  ) {}

  /** Locks a data folder for this process; a full disk is waited out, since the lock needs a few bytes. */
  static async take(dir: string, clock: Clock = hostClock): Promise<FolderDisk> {
    const path = resolve(dir);
    for (;;) {
      try {
        return await FolderDisk.tryTake(path);
      } catch (e) {
        if (!isDiskTrouble(e)) throw e;
        await delay(clock, lockRetryMs);
      }
    }
  }

  private static async tryTake(dir: string): Promise<FolderDisk> {
    await makeFolder(dir);
    const lockPath = join(dir, 'lock');
    const mine = `${process.pid} ${await started(process.pid)}`;
    for (let tries = 0; tries < 2; tries++) {
      try {
        await writeFile(lockPath, mine, { flag: 'wx' });
        return new FolderDisk(dir, lockPath);
      } catch (e) {
        if (isDiskTrouble(e)) {
          await unlink(lockPath).catch(() => undefined);
          throw e;
        }
        const [pid = '0', born = ''] = (await readFile(lockPath, 'utf8').catch(() => '')).split(' ');
        if (Number(pid) > 0 && born !== '' && alive(Number(pid)) && (await started(Number(pid))) === born)
          throw new FolderInUseError(`${dir} is in use by process ${pid}`);
        await unlink(lockPath).catch(() => undefined);
      }
    }
    throw new FolderInUseError(`${dir} cannot be locked`);
  }

  async free(): Promise<void> {
    await unlink(this.lockPath).catch(() => undefined);
  }

  async open(name: string): Promise<DiskFile> {
    const path = join(this.dir, name);
    let h: FileHandle = await open(path, 'a+');
    await unlink(nextOf(path)).catch(() => undefined);
    await syncFolder(this.dir);
    return {
      chunks: () => chunksOfFile(path),
      append: async (bytes) => {
        await h.appendFile(bytes);
      },
      sync: () => h.datasync(),
      cut: async (size) => {
        await h.truncate(size);
        await h.sync();
      },
      replace: async (chunks) => {
        const nextPath = nextOf(path);
        const next = await open(nextPath, appendToNew);
        try {
          for (const chunk of chunks) await next.appendFile(chunk);
          await next.sync();
          await rename(nextPath, path);
          await syncFolder(this.dir);
        } catch (e) {
          await next.close().catch(() => undefined);
          await unlink(nextPath).catch(() => undefined);
          throw e;
        }
        const old = h;
        h = next;
        await old.close();
      },
      close: () => h.close(),
    };
  }

  async setAside(name: string): Promise<void> {
    const path = join(this.dir, name);
    await rename(path, `${path}.damaged`).catch((e: unknown) => {
      if (errorCode(e) !== 'ENOENT') throw e;
    });
    await syncFolder(this.dir);
  }
}
