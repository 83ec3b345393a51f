import { appendFileSync } from 'node:fs';
import type { IncomingMessage } from 'node:http';
import type { ExecutionRecord } from '@tillerstair/checker';

export interface Executed extends ExecutionRecord {
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
  private readonly rows: Executed[] = [];

  constructor(private readonly file?: string) {}

  add(row: Executed): void {
    this.rows.push(row);
    if (this.file !== undefined) appendFileSync(this.file, `${JSON.stringify(row)}\n`);
  }

  all(): readonly Executed[] {
    return this.rows;
  }
}
