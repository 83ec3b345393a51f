/** The clients of a soak: each keeps a connection to some front and uses it until the front has closed it. */
import type { PassRecord } from '@tillerstair/checker';
import { productDialect } from '@tillerstair/proxy';
import { passHost } from '@tillerstair/sim';
import { PersistentConnection, type ConnectionResponse } from '@tillerstair/stand-ins';
import { delay, hostClock } from '@tillerstair/wire';
import { seeded } from '../layout.js';

/** A request of a client, with the front that took it. Times are in ms of the steady clock. */
export interface ClientRequest {
  readonly pass: PassRecord;
  /** The address of the front. */
  readonly front: string;
  readonly answer: ConnectionResponse;
}

/** What decides the clients of a soak. */
export interface SoakClientsOptions {
  readonly seed: number;
  readonly clients: number;
  /** The addresses of all fronts, whether they run or not. */
  readonly fronts: readonly string[];
}

type Manner = 'turn' | 'flow' | 'once' | 'again' | 'keyed';

/** Three of five requests are turns; they are the ones that other fronts own. */
const manners: readonly Manner[] = ['turn', 'turn', 'turn', 'flow', 'once', 'again', 'keyed'];
const checkedManner: Readonly<Record<Manner, PassRecord['manner']>> = {
  turn: 'stream',
  flow: 'stream',
  once: 'once',
  again: 'repeatable',
  keyed: 'keyed',
};

const timeLeftMs = 4000;
const mostTokens = 100;
const longestPauseMs = 400;
/** How long a client waits after a connection that could not be opened. */
const reconnectMs = 20;
const repeatedKeyShare = 0.3;
const continuedTurnShare = 0.6;
const promises: ReadonlySet<number> = new Set([402, 408, 409, 421, 429, 503]);
const success = 200;
const firstServerError = 500;

const reportedOf = ({ complete, status, body }: ConnectionResponse): PassRecord['reported'] => {
  if (complete && status === success) return 'done';
  if (complete && (promises.has(status) || status < firstServerError)) return 'refused';
  return body === '' || status !== success ? 'unknown' : 'partial';
};

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
  `${productDialect.remainingTime}: ${timeLeftMs}`,
  ...(key === '' ? [] : [`${productDialect.key}: ${key}`]),
  ...(program === '' ? [] : [`${productDialect.program}: ${program}`]),
  ...(after === '' ? [] : [`${productDialect.after}: ${after}`]),
  ...(checkedManner[manner] === 'stream' ? [`${productDialect.tokens}: 10,${mostTokens}`] : []),
];

/** One client. */
class SoakClient {
  private readonly draw: () => number;
  private connection: PersistentConnection | undefined;
  private front = '';
  private sent = 0;
  private programs = 0;
  /** The program of the next turn, and the turn that it goes on from. */
  private program = '';
  private after = '';
  /** The newest operation key and its body. */
  private lastKeyed: Pick<Operation, 'key' | 'input'> | undefined;

  constructor(
    private readonly name: string,
    seed: number,
    private readonly fronts: readonly string[],
    private readonly record: (request: ClientRequest) => void,
  ) {
    this.draw = seeded(seed);
  }

  async run(until: number): Promise<void> {
    while (hostClock.now() < until) {
      await this.sendOne(until);
      await delay(hostClock, this.draw() * longestPauseMs);
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
    this.follow(operation, pass);
  }

  private async openConnection(until: number): Promise<PersistentConnection | undefined> {
    while (!this.connection || this.connection.closed) {
      this.front = this.fronts[Math.floor(this.draw() * this.fronts.length)] ?? '';
      this.connection = await PersistentConnection.open(this.front).catch(() => undefined);
      if (this.connection) break;
      if (hostClock.now() >= until) return undefined;
      await delay(hostClock, reconnectMs);
    }
    return this.connection;
  }

  private nextOperation(): Operation {
    const manner = manners[Math.floor(this.draw() * manners.length)] ?? 'turn';
    const attempt = `${this.name}-${++this.sent}`;
    const plain = { manner, attempt, key: '', program: '', after: '', input: `in ${attempt}` };
    if (manner === 'keyed') return { ...plain, ...this.nextKey(attempt) };
    if (manner === 'flow') return { ...plain, program: `flow-${attempt}` };
    if (manner !== 'turn') return plain;
    if (this.program === '' || this.draw() > continuedTurnShare) {
      this.program = `${this.name}-p${++this.programs}`;
      this.after = '';
    }
    return { ...plain, program: this.program, after: this.after };
  }

  private nextKey(attempt: string): Pick<Operation, 'key' | 'input'> {
    if (!this.lastKeyed || this.draw() > repeatedKeyShare)
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
      most: mostTokens,
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

  private follow({ manner, attempt }: Operation, { reported }: PassRecord): void {
    if (manner !== 'turn') return;
    if (reported === 'done') this.after = attempt;
    else this.program = '';
  }
}

/** Runs all clients of a soak until a time of the steady clock; resolves once each has its last answer. */
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
