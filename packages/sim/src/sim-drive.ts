/** What is on a simulated disk: what is synced stays, the rest and each unsynced name may be lost with the power. */
import type { Disk } from '@tillerstair/journal';
import type { Clock } from '@tillerstair/wire';
import { emptyContent, type FileContent } from './file-content.js';
import type { Incarnation } from './incarnation.js';
import { SimDisk } from './sim-disk.js';

const usualDelayMs = 0.2;
const flippedBit = 0x20;

/** The disk of one machine, over all incarnations of its process. */
export class SimDrive {
  /** How long a sync or another slow step takes, in ms. */
  delay = usualDelayMs;
  /** How many syncs there were. */
  syncs = 0;
  failSyncs = false;
  /** The step of writing at which `onCrash` is called; -1 for none. */
  crashAtStep = -1;
  onCrash: () => void = () => undefined;
  /** While set, writes fail; a part of their bytes may reach the file. */
  full = false;
  /** Names as processes see them. */
  private names = new Map<string, FileContent>();
  /** Names as the folder was last synced. */
  private syncedNames = new Map<string, FileContent>();
  private waiting: (() => void)[] = [];
  private isStalled = false;
  private steps = 0;

  constructor(private readonly rng: () => number) {}

  /** The drive as one process uses it. */
  disk(clock: Clock, incarnation: Incarnation): Disk {
    return new SimDisk(this, clock, incarnation);
  }

  get stalled(): boolean {
    return this.isStalled;
  }

  /** While set, writes and syncs neither end nor fail; they go on once it is unset. */
  set stalled(on: boolean) {
    this.isStalled = on;
    if (on) return;
    const released = this.waiting;
    this.waiting = [];
    for (const resume of released) resume();
  }

  /** Sets the usual speed, and ends all faults that leave the content as it is. */
  endFaults(): void {
    this.delay = usualDelayMs;
    this.full = false;
    this.stalled = false;
  }

  /** Resolves while the drive is not stalled. */
  async untilReleased(): Promise<void> {
    while (this.isStalled) await new Promise<void>((resume) => this.waiting.push(resume));
  }

  has(name: string): boolean {
    return this.names.has(name);
  }

  /** The content of a name, which is made if there is none. */
  file(name: string): FileContent {
    const existing = this.names.get(name);
    if (existing) return existing;
    const created = emptyContent();
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

  /** How many of so many bytes a write brings to the file. */
  writableBytes(count: number): number {
    return this.full ? Math.floor(this.rng() * count) : count;
  }

  /** The power goes: of what was not synced, any part may be lost. */
  powerLoss(): void {
    this.names = this.namesAfterPowerLoss();
    this.syncedNames = new Map(this.names);
    for (const file of this.names.values()) {
      const unsynced = file.cached.length - file.synced.length;
      const survived = unsynced > 0 ? Math.floor(this.rng() * (unsynced + 1)) : 0;
      file.synced = Buffer.from(file.cached.subarray(0, file.synced.length + survived));
      file.cached = file.synced;
    }
  }

  /** Each name that was made, renamed or removed since the folder was synced stays or is lost by itself. */
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

  /** Everything on the disk is lost. */
  wipe(): void {
    this.names = new Map();
    this.syncedNames = new Map();
  }

  /** Flips a bit of the byte at an offset. */
  corrupt(name: string, offset: number): void {
    const file = this.file(name);
    const bytes = Buffer.from(file.synced);
    bytes[offset] ^= flippedBit;
    file.synced = bytes;
    file.cached = bytes;
  }

  /** The size of a file. */
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

  /** One step of writing. */
  step(): void {
    if (this.steps++ === this.crashAtStep) this.onCrash();
  }
}
