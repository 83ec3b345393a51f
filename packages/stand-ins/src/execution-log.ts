/** Log of the executions of stand-in servers, in memory and optionally in a file. */
import { appendFileSync } from 'node:fs';
import type { IncomingMessage } from 'node:http';
import type { ExecutionRecord } from '@tillerstair/checker';

/** One execution with details that the checker does not need; `cached` and `prompt` are numbers of prompt blocks. */
export interface LoggedExecution extends ExecutionRecord {
  readonly id: string;
  readonly cached: number;
  readonly prompt: number;
}

/** The `X-Request-Id` of a request, which identifies the attempt; empty if the header is missing. */
export const attemptIdOf = (request: IncomingMessage): string => {
  const requestId = request.headers['x-request-id'];
  return typeof requestId === 'string' ? requestId : '';
};

/** An append-only log that one or more servers share. */
export class ExecutionLog {
  private readonly rows: LoggedExecution[] = [];

  /** If `file` is given, each row is also appended to it synchronously as a line of JSON. */
  constructor(private readonly file?: string) {}

  /** Appends an execution that has ended. */
  add(row: LoggedExecution): void {
    this.rows.push(row);
    if (this.file !== undefined) appendFileSync(this.file, `${JSON.stringify(row)}\n`);
  }

  /** Returns all rows, in the order in which the executions ended. */
  all(): readonly LoggedExecution[] {
    return this.rows;
  }
}
