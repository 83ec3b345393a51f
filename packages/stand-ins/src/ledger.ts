import { appendFileSync } from 'node:fs';
import type { IncomingMessage } from 'node:http';
import type { RanRecord } from '@tillerstair/checker';

export interface Ran extends RanRecord {
  readonly id: string;
  readonly cached: number;
  readonly prompt: number;
}

export const attemptOf = (req: IncomingMessage): string => {
  const v = req.headers['x-request-id'];
  return typeof v === 'string' ? v : '';
};

export const saidOf = (text: string): string => text.slice(-60);

export class Ledger {
  private readonly rows: Ran[] = [];

  constructor(private readonly file?: string) {}

  add(row: Ran): void {
    this.rows.push(row);
    if (this.file !== undefined) appendFileSync(this.file, `${JSON.stringify(row)}\n`);
  }

  all(): readonly Ran[] {
    return this.rows;
  }
}
