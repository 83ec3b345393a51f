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

/** The kinds of keyed requests: at servers without a record of keys, and at two services that each have one. */
const keyedManners = ['keyed', 'own', 'moved'] as const;
type KeyedManner = (typeof keyedManners)[number];

/** A kind of request; also the first part of its path. */
type Manner = 'turn' | 'flow' | 'once' | 'again' | KeyedManner;

/** Turns are listed three times to be the most frequent kind: their program is often owned by another front. */
const manners: readonly Manner[] = [
  ...(['turn', 'turn', 'turn', 'flow', 'once', 'again'] as const),
  ...keyedManners,
];
/** The kind under which the checker knows each kind of request. */
const checkedManner: Readonly<Record<Manner, PassRecord['manner']>> = {
  turn: 'stream',
  flow: 'stream',
  once: 'once',
  again: 'repeatable',
  keyed: 'keyed',
  own: 'keyed',
  moved: 'keyed',
};

const isKeyed = (manner: Manner): manner is KeyedManner =>
  keyedManners.some((keyed) => keyed === manner);

const requestTimeoutMs = 4000;
/** Time after which a request without an answer counts as lost; a front answers soon after its time-out at the latest. */
const answerTimeoutMs = 4 * requestTimeoutMs;
const maxTokens = 100;
const maxPauseMs = 400;
/** Delay after a failed connection attempt. */
const reconnectDelayMs = 20;
const repeatedKeyShare = 0.3;
const continuedTurnShare = 0.6;
/** Statuses by which a front states that the request was not executed, unless the body says otherwise. */
const refusalStatuses: ReadonlySet<number> = new Set([402, 408, 409, 421, 429, 503]);
const mayHaveRun = '"executed":"unknown"';
const success = 200;
const firstServerError = 500;

const reportedOf = ({ complete, status, body }: ConnectionResponse): PassRecord['reported'] => {
  if (complete && status === success) return 'done';
  if (body.includes(mayHaveRun)) return 'unknown';
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
  /** The last operation key sent of each kind and its body, which may be repeated. */
  private readonly lastKeyed = new Map<KeyedManner, Pick<Operation, 'key' | 'input'>>();

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

  /** Sends a key of the route that leads to both services until it has its answer, or until `until`. */
  async askForAnswer({ key, input }: PassRecord, until: number): Promise<PassRecord | undefined> {
    let last: PassRecord | undefined;
    while (last?.reported !== 'done' && hostClock.now() < until) {
      const attempt = `${this.name}-${++this.sent}`;
      const operation = { manner: 'own', attempt, key, program: '', after: '', input } as const;
      last = (await this.send(operation, until)) ?? last;
      if (last?.reported !== 'done') await delay(hostClock, maxPauseMs);
    }
    this.connection?.close();
    return last;
  }

  private async sendOne(until: number): Promise<void> {
    const operation = this.nextOperation();
    const pass = await this.send(operation, until);
    if (pass) this.updateProgram(operation, pass);
  }

  /** Sends a request and records the answer; undefined if no front could be connected to in time. */
  private async send(operation: Operation, until: number): Promise<PassRecord | undefined> {
    const connection = await this.openConnection(until);
    if (!connection) return undefined;
    const path = `/${operation.manner}/x`;
    const { input } = operation;
    const request = { path, headers: headersOf(operation), body: input };
    const answer = await connection.send(request, answerTimeoutMs);
    const pass = this.passOf(operation, path, answer);
    this.record({ pass, front: this.front, answer });
    return pass;
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
    if (isKeyed(manner)) return { ...base, ...this.nextKey(manner, attempt) };
    if (manner === 'flow') return { ...base, program: `flow-${attempt}` };
    if (manner !== 'turn') return base;
    if (this.program === '' || this.random() > continuedTurnShare) {
      this.program = `${this.name}-p${++this.programs}`;
      this.after = '';
    }
    return { ...base, program: this.program, after: this.after };
  }

  private nextKey(manner: KeyedManner, attempt: string): Pick<Operation, 'key' | 'input'> {
    const last = this.lastKeyed.get(manner);
    if (last && this.random() <= repeatedKeyShare) return last;
    const keyed = { key: `key-${attempt}`, input: `in ${attempt}` };
    this.lastKeyed.set(manner, keyed);
    return keyed;
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

/** The requests of a soak's clients, and the last attempts with keys that had no answer when the traffic ended. */
export interface SoakTraffic {
  readonly requests: readonly ClientRequest[];
  readonly finalAttempts: readonly string[];
}

/** Time after the end of the traffic in which each key of a service that can answer must have its answer, in ms. */
const finalAskMs = 10000;

/** The requests with each key of the route that leads to both services that has no answer, one for each key. */
const unansweredKeys = (requests: readonly ClientRequest[]): readonly PassRecord[] => {
  const passes = requests.map(({ pass }) => pass).filter(({ path }) => path === '/own/x');
  const answered = new Set(
    passes.flatMap(({ key, reported }) => (reported === 'done' ? [key] : [])),
  );
  const byKey = new Map(passes.map((pass) => [pass.key, pass]));
  return [...byKey.values()].filter(({ key }) => !answered.has(key));
};

/**
 * Runs all clients of a soak until `until` (ms of the steady clock); resolves once each has its last answer. `settled`
 * resolves when nothing disturbs the fleet any more; unanswered keys are then asked for once more.
 */
export const runSoakClients = async (
  { seed, clients, fronts }: SoakClientsOptions,
  until: number,
  settled: Promise<unknown>,
): Promise<SoakTraffic> => {
  const requests: ClientRequest[] = [];
  const record = (request: ClientRequest): void => void requests.push(request);
  const all = Array.from(
    { length: clients },
    (_, n) => new SoakClient(`s${seed}c${n}`, seed * clients + n, fronts, record),
  );
  await Promise.all(all.map((client) => client.run(until)));
  await settled;
  const askUntil = hostClock.now() + finalAskMs;
  const replies = await Promise.all(
    unansweredKeys(requests).map((pass, n) =>
      new SoakClient(`s${seed}f${n}`, seed + n, fronts, record).askForAnswer(pass, askUntil),
    ),
  );
  return { requests, finalAttempts: replies.map((pass) => pass?.attempt ?? 'never sent') };
};
