/** The disk interface of one simulated process: each step takes time, and none completes once the process is dead. */
import type { Disk, DiskFile } from '@tillerstair/journal';
import { delay, type Clock } from '@tillerstair/wire';
import type { Incarnation } from './incarnation.js';
import { FileContent } from './file-content.js';
import type { SimDrive } from './sim-drive.js';

const chunkBytes = 1000;
const neverEnds = new Promise<never>(() => undefined);

async function* slicesOf(bytes: Buffer): AsyncGenerator<Buffer> {
  for (let start = 0; start < bytes.length; start += chunkBytes)
    yield Promise.resolve(bytes.subarray(start, start + chunkBytes));
}

/** The error that a file system reports when no space is left. */
class DiskFullError extends Error {
  readonly code = 'ENOSPC';

  constructor() {
    super('ENOSPC: no space left on device');
  }
}

/** A drive, opened by one incarnation of a process. */
export class SimDisk implements Disk {
  constructor(
    private readonly drive: SimDrive,
    private readonly clock: Clock,
    private readonly incarnation: Incarnation,
  ) {}

  readonly open = async (name: string): Promise<DiskFile> => {
    await this.whileAlive();
    if (!this.drive.has(name) && this.drive.full) throw new DiskFullError();
    const content = this.drive.file(name);
    if (!this.drive.isNameSynced(name)) await this.syncNames();
    return this.fileOf(name, content);
  };

  readonly setAside = async (name: string): Promise<void> => {
    await this.work();
    this.drive.rename(name, `${name}.damaged`);
    await this.syncNames();
  };

  /** A slow step: takes the delay of the drive, and waits while the drive is stalled. */
  async work(): Promise<void> {
    await this.whileAlive();
    await delay(this.clock, this.drive.delay);
    await this.drive.untilReleased();
    await this.step();
  }

  /** A step at which the machine may crash. */
  async step(): Promise<void> {
    this.drive.step();
    await this.whileAlive();
  }

  async write(file: FileContent, bytes: Buffer): Promise<void> {
    await this.drive.untilReleased();
    await this.whileAlive();
    const written = this.drive.writableBytes(bytes.length);
    file.append(bytes.subarray(0, written));
    await this.step();
    if (written < bytes.length) throw new DiskFullError();
  }

  async sync(file: FileContent): Promise<void> {
    await this.work();
    if (this.drive.failSyncs) throw new Error('the simulated disk failed to sync a file');
    this.drive.syncs++;
    file.sync();
  }

  async syncNames(): Promise<void> {
    await this.work();
    this.drive.syncNames();
  }

  /** An open file, as an object of functions, so that tests can replace some of them. */
  private fileOf(name: string, opened: FileContent): DiskFile {
    let content = opened;
    return {
      chunks: (start = 0) => slicesOf(content.cached.subarray(start)),
      append: (bytes) => this.write(content, bytes),
      sync: () => this.sync(content),
      truncate: async (size) => {
        await this.work();
        content.replaceWith(content.cached.subarray(0, size));
      },
      replace: async (chunks) => {
        content = await this.replace(name, chunks);
      },
      close: () => Promise.resolve(),
    };
  }

  private async replace(
    name: string,
    chunks: Iterable<Buffer> | AsyncIterable<Buffer>,
  ): Promise<FileContent> {
    const nextName = `${name}.next`;
    const next = new FileContent();
    try {
      await this.work();
      this.drive.link(nextName, next);
      await this.step();
      for await (const chunk of chunks) await this.write(next, chunk);
      await this.sync(next);
      this.drive.link(name, next);
      this.drive.unlink(nextName);
      await this.step();
      await this.syncNames();
      return next;
    } catch (error) {
      this.drive.unlink(nextName);
      throw error;
    }
  }

  /** Never resolves once the process is dead. */
  private async whileAlive(): Promise<void> {
    if (this.incarnation.dead) await neverEnds;
  }
}
