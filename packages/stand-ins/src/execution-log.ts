/** What stand-in servers really executed, in memory and, if wanted, in a file. */
import { appendFileSync } from 'node:fs';
import type { IncomingMessage } from 'node:http';
import type { ExecutionRecord } from '@tillerstair/checker';

/** An execution with what only the server knows of it; `cached` and `prompt` are counted in prefix blocks. */
export interface LoggedExecution extends ExecutionRecord {
  readonly id: string;
  readonly cached: number;
  readonly prompt: number;
}

/** The request id that names the attempt; empty where the request has none. */
export const attemptOf = (request: IncomingMessage): string => {
  const requestId = request.headers['x-request-id'];
  return typeof requestId === 'string' ? requestId : '';
};

/** The log of one or more servers; rows are never removed. */
export class ExecutionLog {
  private readonly rows: LoggedExecution[] = [];

  /** With a file name, each row is also appended there as a line of JSON. */
  constructor(private readonly file?: string) {}

  /** Adds one execution, at its end. */
  add(row: LoggedExecution): void {
    this.rows.push(row);
    if (this.file !== undefined) appendFileSync(this.file, `${JSON.stringify(row)}\n`);
  }

  /** All rows so far, in the order in which executions ended. */
  all(): readonly LoggedExecution[] {
    return this.rows;
  }
}
