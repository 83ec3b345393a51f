import { constants } from 'node:fs';
import { mkdir, open, readFile, rename, writeFile, unlink, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';

export interface DiskFile {
  read(): Promise<Buffer>;
  append(bytes: Buffer): Promise<void>;
  sync(): Promise<void>;
  cut(size: number): Promise<void>;
  replace(bytes: Buffer): Promise<void>;
  close(): Promise<void>;
}

export interface Disk {
  open(name: string): Promise<DiskFile>;
}

export class FolderTaken extends Error {}

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
  await h.sync();
  await h.close();
};

export class FolderDisk implements Disk {
  private constructor(
    private readonly dir: string,
    private readonly lockPath: string,
  ) {}

  static async take(dir: string): Promise<FolderDisk> {
    await mkdir(dir, { recursive: true });
    const lockPath = join(dir, 'lock');
    const mine = `${process.pid} ${await started(process.pid)}`;
    for (let tries = 0; tries < 2; tries++) {
      try {
        await writeFile(lockPath, mine, { flag: 'wx' });
        return new FolderDisk(dir, lockPath);
      } catch {
        const [pid = '0', born = ''] = (await readFile(lockPath, 'utf8').catch(() => '')).split(' ');
        if (Number(pid) > 0 && born !== '' && alive(Number(pid)) && (await started(Number(pid))) === born)
          throw new FolderTaken(`${dir} is in use by process ${pid}`);
        await unlink(lockPath).catch(() => undefined);
      }
    }
    throw new FolderTaken(`${dir} cannot be locked`);
  }

  async free(): Promise<void> {
    await unlink(this.lockPath).catch(() => undefined);
  }

  async open(name: string): Promise<DiskFile> {
    const path = join(this.dir, name);
    let h: FileHandle = await open(path, 'a+');
    await syncFolder(this.dir);
    return {
      read: () => readFile(path),
      append: async (bytes) => {
        await h.appendFile(bytes);
      },
      sync: () => h.datasync(),
      cut: async (size) => {
        await h.truncate(size);
        await h.sync();
      },
      replace: async (bytes) => {
        const next = await open(`${path}.next`, 'w');
        await next.writeFile(bytes);
        await next.sync();
        await next.close();
        await rename(`${path}.next`, path);
        await syncFolder(this.dir);
        await h.close();
        h = await open(path, 'a+');
      },
      close: () => h.close(),
    };
  }
}
