/**
 * An HTTP client of the fronts. Each request produces exactly one record with the outcome as the caller knows it: done,
 * refused (nothing ran), partial, or unknown.
 */
import { randomUUID } from 'node:crypto';
import { Agent, request, type Dispatcher } from 'undici';
import {
  recordDefaults,
  failureOfConnection,
  failureOfReply,
  brokenStreamCode,
  type CallerRecord,
} from './caller-record.js';
import { CallResult, CreatedProgram, FetchedTurn } from './messages.js';
import { TurnStream } from './turn-stream.js';

/** The content of a turn request. */
export interface TurnRequest {
  readonly program: string;
  /** Id of the previous turn of the conversation; null for the first turn. */
  readonly after: string | null;
  /** Prompt of the turn. */
  readonly words: string;
  /** Operation key. */
  readonly key: string;
  readonly maxTokens?: number;
}

interface PostOptions {
  readonly key?: string;
  readonly attempt?: string;
}

type RecordBase = Pick<CallerRecord, 'kind' | 'front' | 'from'> & Partial<CallerRecord>;
type RecordOutcome = Pick<CallerRecord, 'status' | 'reported'> & Partial<CallerRecord>;

const defaultTimeoutMs = 20000;

const retryAfterOf = (response: Dispatcher.ResponseData): number =>
  Number(response.headers['retry-after'] ?? 0);

/** A client that sends requests for one tenant; all instances in a process share one connection pool. */
export class Caller {
  private static readonly agent = new Agent({
    connections: 256,
    pipelining: 1,
    connect: { timeout: 1000 },
  });

  /** `onRecord` gets every record; `timeoutMs` limits the wait for the headers and between two parts of the body. */
  constructor(
    readonly tenant: string,
    private readonly onRecord: (record: CallerRecord) => void,
    private readonly timeoutMs = defaultTimeoutMs,
  ) {}

  /** Closes the shared connections; no instance can send requests afterwards. */
  static close(): Promise<void> {
    return Caller.agent.destroy();
  }

  /** Creates a program with a budget in tokens or, given a `parent`, a sub-agent that shares the parent's budget. */
  async program(front: string, budget: number, parent?: string): Promise<CallerRecord> {
    const base: RecordBase = { kind: 'program', front, from: Date.now(), sent: String(budget) };
    return this.recorded(base, async () => {
      const body = parent === undefined ? { budget } : { parent };
      const response = await this.post(front, '/v1/programs', body);
      const reply: unknown = await response.body.json();
      const created = CreatedProgram.safeParse(reply);
      if (response.statusCode === 201 && created.success)
        return { status: 201, reported: 'done', program: created.data.program };
      return failureOfReply(response.statusCode, reply);
    });
  }

  /** Sends a turn and reads its stream; a stream that fails after its first chunk is recorded as partial. */
  async turn(front: string, turn: TurnRequest): Promise<CallerRecord> {
    const { program, after, words, key, maxTokens } = turn;
    const from = Date.now();
    const attempt = randomUUID();
    const stream = new TurnStream(from);
    const base: RecordBase = {
      kind: 'turn',
      front,
      from,
      program,
      key,
      attempt,
      after: after ?? '',
      sent: words,
    };
    return this.recorded(base, async () => {
      try {
        const body = { after, words, ...(maxTokens === undefined ? {} : { maxTokens }) };
        const path = `/v1/programs/${program}/turns`;
        const response = await this.post(front, path, body, { key, attempt });
        if (response.statusCode === 200) return await stream.read(response.body);
        const reply: unknown = await response.body.json().catch(() => null);
        return {
          ...failureOfReply(response.statusCode, reply),
          retryAfter: retryAfterOf(response),
        };
      } catch (error) {
        if (stream.hasChunks) return stream.partial(brokenStreamCode);
        throw error;
      }
    });
  }

  /** Fetches a turn from history. */
  async fetch(front: string, program: string, turn: string): Promise<CallerRecord> {
    const base: RecordBase = { kind: 'fetch', front, from: Date.now(), program, turn };
    return this.recorded(base, async () => {
      const response = await request(`http://${front}/v1/programs/${program}/turns/${turn}`, {
        dispatcher: Caller.agent,
        headers: { 'x-tenant': this.tenant },
        headersTimeout: this.timeoutMs,
      });
      const reply: unknown = await response.body.json();
      const fetched = FetchedTurn.safeParse(reply);
      if (response.statusCode !== 200 || !fetched.success)
        return failureOfReply(response.statusCode, reply);
      const { text, tokens } = fetched.data;
      return { status: 200, reported: 'done', text, tokens };
    });
  }

  /** Sends a call with an operation key. */
  async call(front: string, path: string, body: unknown, key: string): Promise<CallerRecord> {
    const attempt = randomUUID();
    const base: RecordBase = {
      kind: 'call',
      front,
      from: Date.now(),
      key,
      attempt,
      sent: JSON.stringify(body),
    };
    return this.recorded(base, async () => {
      const response = await this.post(front, `/v1/calls${path}`, body, { key, attempt });
      const reply: unknown = await response.body.json();
      const result = CallResult.safeParse(reply);
      if (response.statusCode === 200 && result.success)
        return {
          status: 200,
          reported: 'done',
          text: `${result.data.by} ${result.data.key ?? ''}`,
        };
      return { ...failureOfReply(response.statusCode, reply), retryAfter: retryAfterOf(response) };
    });
  }

  /** Sends one request and records its outcome, also if it failed. */
  private async recorded(
    base: RecordBase,
    send: () => Promise<RecordOutcome>,
  ): Promise<CallerRecord> {
    const end = await send().catch(failureOfConnection);
    const record: CallerRecord = {
      ...recordDefaults,
      tenant: this.tenant,
      to: Date.now(),
      ...base,
      ...end,
    };
    this.onRecord(record);
    return record;
  }

  private async post(
    front: string,
    path: string,
    body: unknown,
    { key = '', attempt = '' }: PostOptions = {},
  ): Promise<Dispatcher.ResponseData> {
    return request(`http://${front}${path}`, {
      method: 'POST',
      dispatcher: Caller.agent,
      headers: {
        'content-type': 'application/json',
        'x-tenant': this.tenant,
        ...(key === '' ? {} : { 'operation-key': key }),
        ...(attempt === '' ? {} : { 'x-request-id': attempt }),
      },
      body: JSON.stringify(body),
      headersTimeout: this.timeoutMs,
      bodyTimeout: this.timeoutMs,
    });
  }
}
