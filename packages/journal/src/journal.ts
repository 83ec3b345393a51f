import { crc32 } from 'node:zlib';
import { Line } from '@tillerstair/wire';
import type { Disk, DiskFile } from './disk.js';

export class JournalCorrupt extends Error {}

const frame = (records: readonly unknown[]): Buffer => {
  const json = JSON.stringify(records);
  return Buffer.from(`${crc32(json).toString(16).padStart(8, '0')} ${json}\n`);
};

const unframe = (line: string): readonly unknown[] | undefined => {
  if (line.charAt(8) !== ' ') return undefined;
  const json = line.slice(9);
  if (crc32(json).toString(16).padStart(8, '0') !== line.slice(0, 8)) return undefined;
  const v: unknown = JSON.parse(json);
  return Array.isArray(v) ? v : undefined;
};

export interface Scan {
  readonly records: readonly unknown[];
  readonly good: number;
}

export const scan = (name: string, bytes: Buffer): Scan => {
  const records: unknown[] = [];
  let at = 0;
  let torn = -1;
  while (at < bytes.length) {
    const nl = bytes.indexOf(10, at);
    const batch = nl < 0 ? undefined : unframe(bytes.toString('utf8', at, nl));
    if (batch === undefined) {
      if (torn < 0) torn = at;
    } else {
      if (torn >= 0) throw new JournalCorrupt(`${name}: record at byte ${torn} is damaged and good ones follow it`);
      for (const r of batch) records.push(r);
    }
    if (nl < 0) break;
    at = nl + 1;
  }
  return { records, good: torn < 0 ? bytes.length : torn };
};

interface Pending {
  readonly record: unknown;
  done(): void;
  fail(e: unknown): void;
}

export class Journal {
  private pending: Pending[] = [];
  private broken: unknown;
  private syncs = 0;

  private constructor(
    private readonly file: DiskFile,
    private readonly line: Line,
    private bytes: number,
    private floor: number,
  ) {}

  static async open(disk: Disk, name: string): Promise<{ journal: Journal; records: readonly unknown[]; cut: number }> {
    const file = await disk.open(name);
    try {
      const bytes = await file.read();
      const { records, good } = scan(name, bytes);
      if (good < bytes.length) await file.cut(good);
      const journal = new Journal(file, new Line(`journal-${name}`), good, good);
      return { journal, records, cut: bytes.length - good };
    } catch (e) {
      await file.close();
      throw e;
    }
  }

  get size(): number {
    return this.bytes;
  }

  get syncCount(): number {
    return this.syncs;
  }

  long(least: number): boolean {
    return this.bytes > least && this.bytes > 2 * this.floor;
  }

  append(record: unknown): Promise<void> {
    return new Promise((done, fail) => {
      this.pending.push({ record, done, fail });
      if (this.pending.length === 1) void this.line.run(() => this.flush());
    });
  }

  private async flush(): Promise<void> {
    const batch = this.pending;
    this.pending = [];
    if (batch.length === 0) return;
    try {
      if (this.broken !== undefined) throw this.broken;
      const bytes = frame(batch.map((p) => p.record));
      await this.file.append(bytes);
      await this.file.sync();
      this.syncs++;
      this.bytes += bytes.length;
      for (const p of batch) p.done();
    } catch (e) {
      this.broken = e;
      for (const p of batch) p.fail(e);
    }
  }

  rewrite(records: () => readonly unknown[]): Promise<void> {
    return this.line.run(async () => {
      if (this.broken !== undefined) throw this.broken;
      const late = this.pending;
      this.pending = [];
      try {
        const bytes = Buffer.concat([...records(), ...late.map((p) => p.record)].map((r) => frame([r])));
        await this.file.replace(bytes);
        this.bytes = bytes.length;
        this.floor = bytes.length;
        for (const p of late) p.done();
      } catch (e) {
        this.broken = e;
        for (const p of late) p.fail(e);
      }
    });
  }

  async close(): Promise<void> {
    await this.line.run(() => this.file.close());
    this.line.close();
  }
}
