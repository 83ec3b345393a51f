/** The content of a simulated disk: a power loss may lose unsynced bytes and unsynced names, but nothing synced. */
import type { Disk } from '@tillerstair/journal';
import type { Clock } from '@tillerstair/wire';
import { FileContent } from './file-content.js';
import type { Incarnation } from './incarnation.js';
import { SimDisk } from './sim-disk.js';

const defaultDelayMs = 0.2;
const flippedBit = 0x20;

/** The disk of one machine; it outlives the incarnations of its process. */
export class SimDrive {
  /** Duration of a sync or another slow step, in ms. */
  delay = defaultDelayMs;
  /** Number of successful file syncs. */
  syncs = 0;
  /** While set, file syncs fail. */
  failSyncs = false;
  /** Index of the write step at which `onCrash` is called; -1 for none. */
  crashAtStep = -1;
  onCrash: () => void = () => undefined;
  /** While set, writes fail, and new files cannot be created; a part of the written bytes may reach the file. */
  full = false;
  /** File names as processes see them. */
  private names = new Map<string, FileContent>();
  /** File names as of the last sync of the folder. */
  private syncedNames = new Map<string, FileContent>();
  private waiting: (() => void)[] = [];
  private isStalled = false;
  private steps = 0;

  constructor(private readonly rng: () => number) {}

  /** The disk interface of one process. */
  disk(clock: Clock, incarnation: Incarnation): Disk {
    return new SimDisk(this, clock, incarnation);
  }

  get stalled(): boolean {
    return this.isStalled;
  }

  /** While set, writes and syncs neither complete nor fail; they continue once it is unset. */
  set stalled(active: boolean) {
    this.isStalled = active;
    if (active) return;
    const released = this.waiting;
    this.waiting = [];
    for (const resume of released) resume();
  }

  /** Restores the default speed, and ends `full` and `stalled`. */
  endFaults(): void {
    this.delay = defaultDelayMs;
    this.full = false;
    this.stalled = false;
  }

  /** Resolves once the drive is not stalled. */
  async untilReleased(): Promise<void> {
    while (this.isStalled) await new Promise<void>((resume) => this.waiting.push(resume));
  }

  has(name: string): boolean {
    return this.names.has(name);
  }

  /** The content of a file, which is created if it does not exist. */
  file(name: string): FileContent {
    const existing = this.names.get(name);
    if (existing) return existing;
    const created = new FileContent();
    this.names.set(name, created);
    return created;
  }

  link(name: string, content: FileContent): void {
    this.names.set(name, content);
  }

  unlink(name: string): void {
    this.names.delete(name);
  }

  rename(from: string, to: string): void {
    const content = this.names.get(from);
    if (content) this.names.set(to, content);
    this.names.delete(from);
  }

  isNameSynced(name: string): boolean {
    return this.syncedNames.get(name) === this.names.get(name);
  }

  syncNames(): void {
    this.syncedNames = new Map(this.names);
  }

  /** How many of `count` bytes a write stores: all, or a random part while the drive is full. */
  writableBytes(count: number): number {
    return this.full ? Math.floor(this.rng() * count) : count;
  }

  /** Simulates a power loss: each file keeps a random part of its unsynced bytes. */
  powerLoss(): void {
    this.names = this.namesAfterPowerLoss();
    this.syncedNames = new Map(this.names);
    for (const file of this.names.values()) {
      const unsynced = file.cached.length - file.synced.length;
      const survived = unsynced > 0 ? Math.floor(this.rng() * (unsynced + 1)) : 0;
      file.replaceWith(file.cached.subarray(0, file.synced.length + survived));
    }
  }

  /** Each creation, renaming or removal of a name since the last folder sync survives or is lost independently. */
  private namesAfterPowerLoss(): Map<string, FileContent> {
    const survived = new Map<string, FileContent>();
    for (const name of new Set([...this.names.keys(), ...this.syncedNames.keys()])) {
      const now = this.names.get(name);
      const before = this.syncedNames.get(name);
      const content = now === before || this.rng() < 0.5 ? now : before;
      if (content) survived.set(name, content);
    }
    return survived;
  }

  /** Erases the disk. */
  wipe(): void {
    this.names = new Map();
    this.syncedNames = new Map();
  }

  /** Flips one bit of the byte at an offset of a file. */
  corrupt(name: string, offset: number): void {
    const file = this.file(name);
    const bytes = Buffer.from(file.synced);
    bytes[offset] ^= flippedBit;
    file.replaceWith(bytes);
  }

  /** The size of a file in bytes. */
  bytes(name: string): number {
    return this.file(name).cached.length;
  }

  /** The names of all files, sorted. */
  list(): readonly string[] {
    return [...this.names.keys()].sort();
  }

  /** Restarts the count of write steps, and calls `onCrash` at the step of this index; -1 for none. */
  crashFrom(step: number, onCrash: () => void): void {
    this.steps = 0;
    this.crashAtStep = step;
    this.onCrash = onCrash;
  }

  /** Counts one write step. */
  step(): void {
    if (this.steps++ === this.crashAtStep) this.onCrash();
  }
}
