import type { Disk, DiskFile } from '@tillerstair/journal';
import { pause, type Clock } from '@tillerstair/wire';
import type { Life } from './sim-clock.js';

interface Held {
  synced: Buffer;
  cached: Buffer;
}

const forever = new Promise<never>(() => undefined);

export class SimPlatter {
  private files = new Map<string, Held>();
  delay = 0.2;
  syncs = 0;
  failSyncs = false;
  crashAtStep = -1;
  onCrash: () => void = () => undefined;
  private steps = 0;

  constructor(private readonly rng: () => number) {}

  private file(name: string): Held {
    const old = this.files.get(name);
    if (old) return old;
    const made: Held = { synced: Buffer.alloc(0), cached: Buffer.alloc(0) };
    this.files.set(name, made);
    return made;
  }

  powerLoss(): void {
    for (const f of this.files.values()) {
      const extra = f.cached.length > f.synced.length ? Math.floor(this.rng() * (f.cached.length - f.synced.length + 1)) : 0;
      f.synced = Buffer.from(f.cached.subarray(0, f.synced.length + extra));
      f.cached = f.synced;
    }
  }

  wipe(): void {
    this.files = new Map();
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

  private step(): void {
    if (this.steps++ === this.crashAtStep) this.onCrash();
  }

  disk(clock: Clock, life: Life): Disk {
    const alive = async (): Promise<void> => {
      if (life.dead) await forever;
    };
    const work = async (): Promise<void> => {
      await alive();
      await pause(clock, this.delay);
      this.step();
      await alive();
    };
    return {
      open: async (name): Promise<DiskFile> => {
        await alive();
        return {
          read: async () => this.file(name).cached,
          append: async (bytes) => {
            await alive();
            const f = this.file(name);
            f.cached = Buffer.concat([f.cached, bytes]);
            this.step();
            await alive();
          },
          sync: async () => {
            await work();
            if (this.failSyncs) throw new Error('the disk failed to sync');
            this.syncs++;
            const f = this.file(name);
            f.synced = f.cached;
          },
          cut: async (size) => {
            await work();
            const f = this.file(name);
            f.cached = Buffer.from(f.cached.subarray(0, size));
            f.synced = f.cached;
          },
          replace: async (bytes) => {
            await work();
            await work();
            await alive();
            const f = this.file(name);
            const keepsOld = this.rng() < 0.5;
            this.step();
            if (life.dead && keepsOld) return forever;
            f.synced = bytes;
            f.cached = bytes;
            await work();
          },
          close: async () => undefined,
        };
      },
    };
  }
}
