/** A disk under a simulated clock: what is synced stays, the rest and each unsynced name may be lost with the power. */
import type { Disk, DiskFile } from '@tillerstair/journal';
import { delay, type Clock } from '@tillerstair/wire';
import type { Life } from './sim-clock.js';

interface Content {
  synced: Buffer;
  cached: Buffer;
}

/** As a file system reports that it has no room left. */
export class DiskFullError extends Error {
  readonly code = 'ENOSPC';

  constructor() {
    super('ENOSPC: no space left on device');
  }
}

const forever = new Promise<never>(() => undefined);
const none = Buffer.alloc(0);
const chunkBytes = 1000;

async function* slicesOf(bytes: Buffer): AsyncGenerator<Buffer> {
  for (let at = 0; at < bytes.length; at += chunkBytes) yield bytes.subarray(at, at + chunkBytes);
}

export class SimPlatter {
  /** Names as processes see them. */
  private names = new Map<string, Content>();
  /** Names as the folder was last synced. */
  private syncedNames = new Map<string, Content>();
  private waiting: (() => void)[] = [];
  private isStalled = false;
  delay = 0.2;
  syncs = 0;
  failSyncs = false;
  /** While set, writes fail; a part of their bytes may reach the file. */
  full = false;
  crashAtStep = -1;
  onCrash: () => void = () => undefined;
  private steps = 0;

  constructor(private readonly rng: () => number) {}

  get stalled(): boolean {
    return this.isStalled;
  }

  /** While set, writes and syncs neither end nor fail; they go on once it is unset. */
  set stalled(on: boolean) {
    this.isStalled = on;
    if (on) return;
    const released = this.waiting;
    this.waiting = [];
    for (const go of released) go();
  }

  private file(name: string): Content {
    const old = this.names.get(name);
    if (old) return old;
    const made: Content = { synced: none, cached: none };
    this.names.set(name, made);
    return made;
  }

  powerLoss(): void {
    this.names = this.namesAfterPowerLoss();
    this.syncedNames = new Map(this.names);
    for (const f of this.names.values()) {
      const extra =
        f.cached.length > f.synced.length
          ? Math.floor(this.rng() * (f.cached.length - f.synced.length + 1))
          : 0;
      f.synced = Buffer.from(f.cached.subarray(0, f.synced.length + extra));
      f.cached = f.synced;
    }
  }

  /** Each name that was made, renamed or removed since the folder was synced is kept or lost by itself. */
  private namesAfterPowerLoss(): Map<string, Content> {
    const kept = new Map<string, Content>();
    for (const name of new Set([...this.names.keys(), ...this.syncedNames.keys()])) {
      const now = this.names.get(name);
      const before = this.syncedNames.get(name);
      const content = now === before || this.rng() < 0.5 ? now : before;
      if (content) kept.set(name, content);
    }
    return kept;
  }

  wipe(): void {
    this.names = new Map();
    this.syncedNames = new Map();
  }

  corrupt(name: string, at: number): void {
    const f = this.file(name);
    const b = Buffer.from(f.synced);
    b[at] = (b[at] ?? 0) ^ 0x20;
    f.synced = b;
    f.cached = b;
  }

  bytes(name: string): number {
    return this.file(name).cached.length;
  }

  /** The names of all files there are now. */
  list(): readonly string[] {
    return [...this.names.keys()].sort();
  }

  /** Counts steps of writing anew and calls `onCrash` at the given one; -1 for none. */
  crashFrom(step: number, onCrash: () => void): void {
    this.steps = 0;
    this.crashAtStep = step;
    this.onCrash = onCrash;
  }

  private step(): void {
    if (this.steps++ === this.crashAtStep) this.onCrash();
  }

  private async released(): Promise<void> {
    while (this.isStalled) await new Promise<void>((go) => this.waiting.push(go));
  }

  disk(clock: Clock, life: Life): Disk {
    const alive = async (): Promise<void> => {
      if (life.dead) await forever;
    };
    const step = async (): Promise<void> => {
      this.step();
      await alive();
    };
    const work = async (): Promise<void> => {
      await alive();
      await delay(clock, this.delay);
      await this.released();
      await step();
    };
    const write = async (to: Content, bytes: Buffer): Promise<void> => {
      await this.released();
      await alive();
      const part = this.full ? Math.floor(this.rng() * bytes.length) : bytes.length;
      to.cached = Buffer.concat([to.cached, bytes.subarray(0, part)]);
      await step();
      if (part < bytes.length) throw new DiskFullError();
    };
    const sync = async (f: Content): Promise<void> => {
      await work();
      if (this.failSyncs) throw new Error('the disk failed to sync');
      this.syncs++;
      f.synced = f.cached;
    };
    const syncNames = async (): Promise<void> => {
      await work();
      this.syncedNames = new Map(this.names);
    };
    const open = async (name: string): Promise<DiskFile> => {
      await alive();
      const isNew = !this.names.has(name);
      if (isNew && this.full) throw new DiskFullError();
      let content = this.file(name);
      if (this.syncedNames.get(name) !== content) await syncNames();
      return {
        chunks: () => slicesOf(content.cached),
        append: (bytes) => write(content, bytes),
        sync: () => sync(content),
        truncate: async (size) => {
          await work();
          content.cached = Buffer.from(content.cached.subarray(0, size));
          content.synced = content.cached;
        },
        replace: async (chunks) => {
          const nextName = `${name}.next`;
          const next: Content = { synced: none, cached: none };
          try {
            await work();
            this.names.set(nextName, next);
            await step();
            for (const chunk of chunks) await write(next, chunk);
            await sync(next);
            this.names.set(name, next);
            this.names.delete(nextName);
            await step();
            await syncNames();
          } catch (e) {
            this.names.delete(nextName);
            throw e;
          }
          content = next;
        },
        close: async () => undefined,
      };
    };
    const setAside = async (name: string): Promise<void> => {
      await work();
      const content = this.names.get(name);
      if (content) this.names.set(`${name}.damaged`, content);
      this.names.delete(name);
      await syncNames();
    };
    return { open, setAside };
  }
}
