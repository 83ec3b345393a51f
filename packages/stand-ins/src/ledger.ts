import { appendFileSync } from 'node:fs';

export interface Ran {
  readonly kind: 'generate' | 'act';
  readonly server: string;
  readonly pool: string;
  readonly id: string;
  readonly key: string;
  readonly began: number;
  readonly at: number;
  readonly said: string;
  readonly reply: string;
  readonly complete: boolean;
  readonly tokens: number;
  readonly cached: number;
  readonly prompt: number;
}

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
