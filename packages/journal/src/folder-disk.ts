/** A data folder in the host's file system, locked by one process at a time. */
import { constants } from 'node:fs';
import { mkdir, open, rename, unlink, type FileHandle } from 'node:fs/promises';
import { dirname, join, resolve } from 'node:path';
import { delay, hostClock, systemErrorCodeOf, type Clock } from '@tillerstair/wire';
import type { Disk, DiskFile } from './disk.js';
import { isTransientDiskError } from './errors.js';
import { acquireLock, releaseLock } from './folder-lock.js';

const lockRetryMs = 250;
const readChunkBytes = 1 << 20;
const truncateForAppend =
  constants.O_RDWR | constants.O_CREAT | constants.O_TRUNC | constants.O_APPEND;

/** Path at which the replacement of a file is written; one left behind by a power loss is incomplete and is deleted. */
const replacementPath = (path: string): string => `${path}.next`;

const syncEveryBytes = 4 << 20;

const syncFolder = async (folder: string): Promise<void> => {
  const handle = await open(folder, constants.O_RDONLY);
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
};

/** Creates a folder and its missing parents, and syncs the directory entry of each folder that was created. */
const createFolder = async (folder: string): Promise<void> => {
  const topmost = await mkdir(folder, { recursive: true });
  if (topmost === undefined) return;
  for (let created = folder; created.length >= topmost.length; created = dirname(created))
    await syncFolder(dirname(created));
};

const removeIfPresent = (path: string): Promise<void> => unlink(path).catch(() => undefined);

/** Reads a file from an offset in chunks that share one buffer. */
async function* readChunks(path: string, start: number): AsyncGenerator<Buffer> {
  const file = await open(path, constants.O_RDONLY);
  try {
    const buffer = Buffer.allocUnsafe(readChunkBytes);
    for (let position = start; ;) {
      const { bytesRead } = await file.read(buffer, 0, readChunkBytes, position);
      if (bytesRead === 0) return;
      position += bytesRead;
      yield buffer.subarray(0, bytesRead);
    }
  } finally {
    await file.close();
  }
}

/** Appends chunks and syncs them now and then, so that the sync after the last one is short. */
const appendSyncing = async (
  handle: FileHandle,
  chunks: Iterable<Buffer> | AsyncIterable<Buffer>,
): Promise<void> => {
  let unsyncedBytes = 0;
  for await (const chunk of chunks) {
    await handle.appendFile(chunk);
    unsyncedBytes += chunk.length;
    if (unsyncedBytes < syncEveryBytes) continue;
    await handle.datasync();
    unsyncedBytes = 0;
  }
};

/** One file of a data folder, open for appending. */
class FolderFile implements DiskFile {
  constructor(
    private readonly folder: string,
    private readonly path: string,
    private handle: FileHandle,
  ) {}

  chunks(start = 0): AsyncIterable<Buffer> {
    return readChunks(this.path, start);
  }

  async append(bytes: Buffer): Promise<void> {
    await this.handle.appendFile(bytes);
  }

  sync(): Promise<void> {
    return this.handle.datasync();
  }

  async truncate(sizeBytes: number): Promise<void> {
    await this.handle.truncate(sizeBytes);
    await this.handle.sync();
  }

  /** Writes and syncs a temporary file, renames it to this file, and syncs the folder to make the rename durable. */
  async replace(chunks: Iterable<Buffer> | AsyncIterable<Buffer>): Promise<void> {
    const nextPath = replacementPath(this.path);
    const nextHandle = await open(nextPath, truncateForAppend);
    try {
      await appendSyncing(nextHandle, chunks);
      await nextHandle.sync();
      await rename(nextPath, this.path);
      await syncFolder(this.folder);
    } catch (error) {
      await nextHandle.close().catch(() => undefined);
      await removeIfPresent(nextPath);
      throw error;
    }
    const previousHandle = this.handle;
    this.handle = nextHandle;
    await previousHandle.close();
  }

  close(): Promise<void> {
    return this.handle.close();
  }
}

/** A data folder that this process has locked until it calls `release`. */
export class FolderDisk implements Disk {
  private constructor(
    private readonly folder: string,
    private readonly lockPath: string,
  ) {}

  /**
   * Creates and locks a data folder. Retries while the disk is full, since the lock file needs a few bytes.
   *
   * @throws FolderInUseError if another running process has locked the folder.
   */
  static async acquire(path: string, clock: Clock = hostClock): Promise<FolderDisk> {
    const folder = resolve(path);
    const lockPath = join(folder, 'lock');
    for (;;) {
      try {
        await createFolder(folder);
        await acquireLock(lockPath, folder);
        return new FolderDisk(folder, lockPath);
      } catch (error) {
        if (!isTransientDiskError(error)) throw error;
        await delay(clock, lockRetryMs);
      }
    }
  }

  /** Removes the lock file. Opened files stay open; the caller that opened them closes them. */
  async release(): Promise<void> {
    await releaseLock(this.lockPath);
  }

  async open(name: string): Promise<DiskFile> {
    const path = join(this.folder, name);
    const handle = await open(path, 'a+');
    await removeIfPresent(replacementPath(path));
    await syncFolder(this.folder);
    return new FolderFile(this.folder, path, handle);
  }

  async setAside(name: string): Promise<void> {
    const path = join(this.folder, name);
    await rename(path, `${path}.damaged`).catch((error: unknown) => {
      if (systemErrorCodeOf(error) !== 'ENOENT') throw error;
    });
    await syncFolder(this.folder);
  }
}
