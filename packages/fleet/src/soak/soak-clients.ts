/** The clients of a soak: each keeps one connection to a random front and reuses it until the front closes it. */
import type { PassRecord } from '@tillerstair/checker';
import { productDialect } from '@tillerstair/proxy';
import { passHost } from '@tillerstair/sim';
import { PersistentConnection, type ConnectionResponse } from '@tillerstair/stand-ins';
import { delay, hostClock } from '@tillerstair/wire';
import { seededRandom } from '../layout.js';

/** A client's request, the front it was sent to, and the answer. Times are in ms of the steady clock. */
export interface ClientRequest {
  readonly pass: PassRecord;
  /** The address of the front. */
  readonly front: string;
  readonly answer: ConnectionResponse;
}

/** The options of a soak's clients. */
export interface SoakClientsOptions {
  readonly seed: number;
  readonly clients: number;
  /** The addresses of all fronts, running or stopped. */
  readonly fronts: readonly string[];
}

/** A kind of request; also the first part of its path. */
type Manner = 'turn' | 'flow' | 'once' | 'again' | 'keyed';

/** Turns are listed three times to be the most frequent kind: their program is often owned by another front. */
const manners: readonly Manner[] = ['turn', 'turn', 'turn', 'flow', 'once', 'again', 'keyed'];
/** The kind under which the checker knows each kind of request. */
const checkedManner: Readonly<Record<Manner, PassRecord['manner']>> = {
  turn: 'stream',
  flow: 'stream',
  once: 'once',
  again: 'repeatable',
  keyed: 'keyed',
};

const requestTimeoutMs = 4000;
const maxTokens = 100;
const maxPauseMs = 400;
/** Delay after a failed connection attempt. */
const reconnectDelayMs = 20;
const repeatedKeyShare = 0.3;
const continuedTurnShare = 0.6;
/** Statuses by which a front states that the request was not executed. */
const refusalStatuses: ReadonlySet<number> = new Set([402, 408, 409, 421, 429, 503]);
const success = 200;
const firstServerError = 500;

const reportedOf = ({ complete, status, body }: ConnectionResponse): PassRecord['reported'] => {
  if (complete && status === success) return 'done';
  if (complete && (refusalStatuses.has(status) || status < firstServerError)) return 'refused';
  return body === '' || status !== success ? 'unknown' : 'partial';
};

/** The contents of one request; `key`, `program` and `after` are empty if the request has none. */
interface Operation {
  readonly manner: Manner;
  readonly attempt: string;
  readonly key: string;
  readonly program: string;
  readonly after: string;
  readonly input: string;
}

const headersOf = ({ manner, attempt, key, program, after }: Operation): readonly string[] => [
  `Host: ${passHost}`,
  `${productDialect.attempt}: ${attempt}`,
  `${productDialect.remainingTime}: ${requestTimeoutMs}`,
  ...(key === '' ? [] : [`${productDialect.key}: ${key}`]),
  ...(program === '' ? [] : [`${productDialect.program}: ${program}`]),
  ...(after === '' ? [] : [`${productDialect.after}: ${after}`]),
  ...(checkedManner[manner] === 'stream' ? [`${productDialect.tokens}: 10,${maxTokens}`] : []),
];

/** One client: sends one request at a time and records each answer. */
class SoakClient {
  private readonly random: () => number;
  private connection: PersistentConnection | undefined;
  private front = '';
  private sent = 0;
  private programs = 0;
  /** The program of the next turn, empty to begin a new one. */
  private program = '';
  /** The last turn of that program, which the next one continues; empty for the first. */
  private after = '';
  /** The last operation key sent and its body, which may be repeated. */
  private lastKeyed: Pick<Operation, 'key' | 'input'> | undefined;

  constructor(
    private readonly name: string,
    seed: number,
    private readonly fronts: readonly string[],
    private readonly record: (request: ClientRequest) => void,
  ) {
    this.random = seededRandom(seed);
  }

  async run(until: number): Promise<void> {
    while (hostClock.now() < until) {
      await this.sendOne(until);
      await delay(hostClock, this.random() * maxPauseMs);
    }
    this.connection?.close();
  }

  private async sendOne(until: number): Promise<void> {
    const operation = this.nextOperation();
    const connection = await this.openConnection(until);
    if (!connection) return;
    const path = `/${operation.manner}/x`;
    const { input } = operation;
    const answer = await connection.send({ path, headers: headersOf(operation), body: input });
    const pass = this.passOf(operation, path, answer);
    this.record({ pass, front: this.front, answer });
    this.updateProgram(operation, pass);
  }

  private async openConnection(until: number): Promise<PersistentConnection | undefined> {
    while (!this.connection || this.connection.closed) {
      this.front = this.fronts[Math.floor(this.random() * this.fronts.length)] ?? '';
      this.connection = await PersistentConnection.open(this.front).catch(() => undefined);
      if (this.connection) break;
      if (hostClock.now() >= until) return undefined;
      await delay(hostClock, reconnectDelayMs);
    }
    return this.connection;
  }

  private nextOperation(): Operation {
    const manner = manners[Math.floor(this.random() * manners.length)] ?? 'turn';
    const attempt = `${this.name}-${++this.sent}`;
    const base = { manner, attempt, key: '', program: '', after: '', input: `in ${attempt}` };
    if (manner === 'keyed') return { ...base, ...this.nextKey(attempt) };
    if (manner === 'flow') return { ...base, program: `flow-${attempt}` };
    if (manner !== 'turn') return base;
    if (this.program === '' || this.random() > continuedTurnShare) {
      this.program = `${this.name}-p${++this.programs}`;
      this.after = '';
    }
    return { ...base, program: this.program, after: this.after };
  }

  private nextKey(attempt: string): Pick<Operation, 'key' | 'input'> {
    if (!this.lastKeyed || this.random() > repeatedKeyShare)
      this.lastKeyed = { key: `key-${attempt}`, input: `in ${attempt}` };
    return this.lastKeyed;
  }

  private passOf(operation: Operation, path: string, answer: ConnectionResponse): PassRecord {
    const { manner, attempt, key, program, after, input } = operation;
    return {
      manner: checkedManner[manner],
      path,
      resumable: false,
      key,
      attempt,
      program,
      budget: null,
      most: maxTokens,
      after,
      input,
      from: answer.sentAt,
      to: answer.endedAt,
      reported: reportedOf(answer),
      status: answer.status,
      errorCode: /"errorCode":"([^"]*)"/.exec(answer.body)?.[1] ?? '',
      retryAfter: answer.retryAfter,
      body: answer.status === success ? answer.body : '',
    };
  }

  private updateProgram({ manner, attempt }: Operation, { reported }: PassRecord): void {
    if (manner !== 'turn') return;
    if (reported === 'done') this.after = attempt;
    else this.program = '';
  }
}

/** Runs all clients of a soak until `until` (ms of the steady clock); resolves once each has its last answer. */
export const runSoakClients = async (
  { seed, clients, fronts }: SoakClientsOptions,
  until: number,
): Promise<readonly ClientRequest[]> => {
  const requests: ClientRequest[] = [];
  const all = Array.from(
    { length: clients },
    (_, n) =>
      new SoakClient(`s${seed}c${n}`, seed * clients + n, fronts, (request) => {
        requests.push(request);
      }),
  );
  await Promise.all(all.map((client) => client.run(until)));
  return requests;
};
