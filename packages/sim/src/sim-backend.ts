/** The backend of a simulated front: requests to servers take time and are subject to the servers' faults. */
import type {
  Backend,
  BackendOutcome,
  ForwardedRequest,
  GenerateRequest,
  ResponseSink,
  ServerStatus,
  ToolCallRequest,
} from '@tillerstair/session-owner';
import type { Server } from '@tillerstair/state';
import { delay, type Clock } from '@tillerstair/wire';
import { isEveryNth, type ServerFaults } from './server-faults.js';
import type { Incarnation } from './incarnation.js';
import type { RecordedAnswer } from './sim-key-table.js';
import { executePass, headerOf, type PassExecution } from './sim-pass.js';
import type { SimServers } from './sim-servers.js';

/** Cancellation and time-out of a request, and a check whether it may still run, made when it reaches the server. */
type SendBounds = readonly [signal: AbortSignal, timeoutMs: number, mayStillRun: () => boolean];

const sendMs = 0.5;
const receiveMs = 0.3;
const msPerToken = 5;
const minReplyTokens = 4;
const replyTokensRange = 12;
const minCallMs = 10;
const callRangeMs = 30;

/** A request on a pass route at a server: its number, and the server's faults when it was sent. */
interface PassRun {
  readonly server: Server;
  readonly number: number;
  readonly faults: ServerFaults;
  readonly bounds: SendBounds;
}

/** The backend of one front; its work stops with the incarnation of the front's process. */
export class SimBackend implements Backend {
  private readonly frontClock: Clock;

  constructor(
    private readonly servers: SimServers,
    private readonly incarnation: Incarnation,
    private readonly front: string,
  ) {
    this.frontClock = incarnation.clock(servers.clock);
  }

  async generate(
    server: Server,
    request: GenerateRequest,
    onChunk: (index: number, text: string) => void,
    ...bounds: SendBounds
  ): Promise<BackendOutcome> {
    const faults = this.servers.faultsOf(server.id);
    const failure = await this.send(server, bounds);
    if (failure) return failure;
    const [signal] = bounds;
    const number = this.servers.beginRequest();
    const executed = {
      kind: 'generate' as const,
      key: '',
      attempt: request.requestId,
      program: request.id.split('/')[0] ?? '',
      began: this.servers.clock.now(),
      said: request.messages.at(-1)?.text ?? '',
    };
    const length = minReplyTokens + Math.floor(this.servers.rng() * replyTokensRange);
    const total = Math.min(request.maxTokens, length);
    const cutAt = isEveryNth(faults.cutEvery, number) ? Math.floor(total / 2) : -1;
    let reply = '';
    this.servers.addBusy(server, 1);
    for (let index = 0; index < total; index++) {
      await delay(this.servers.clock, msPerToken * faults.slow);
      if (signal.aborted || this.incarnation.dead || index === cutAt) {
        this.servers.addBusy(server, -1);
        this.servers.record(server, { ...executed, reply, complete: false, tokens: index });
        return this.receive({ kind: 'lost', text: `${server.id} broke off the stream` });
      }
      const text = `${server.id}.${number}.${index} `;
      reply += text;
      this.incarnation.do(() => onChunk(index, text));
    }
    this.servers.addBusy(server, -1);
    this.servers.record(server, { ...executed, reply, complete: true, tokens: total });
    if (losesResponseEnd(faults, number))
      return this.receive({
        kind: 'lost',
        text: `the end of the stream from ${server.id} was lost`,
      });
    return this.receive({ kind: 'done', code: 200, body: total });
  }

  async act(
    server: Server,
    request: ToolCallRequest,
    ...bounds: SendBounds
  ): Promise<BackendOutcome> {
    const faults = this.servers.faultsOf(server.id);
    const failure = await this.send(server, bounds);
    if (failure) return failure;
    const number = this.servers.beginRequest();
    const began = this.servers.clock.now();
    this.servers.addBusy(server, 1);
    const callMs = minCallMs + this.servers.rng() * callRangeMs;
    await delay(this.servers.clock, callMs * faults.slow);
    this.servers.addBusy(server, -1);
    this.servers.record(server, {
      kind: 'act',
      key: request.key,
      attempt: request.requestId,
      program: '',
      began,
      said: request.path,
      reply: '',
      complete: true,
      tokens: 0,
    });
    if (losesResponseEnd(faults, number))
      return this.receive({ kind: 'lost', text: `the response from ${server.id} was lost` });
    const body = { did: request.path, key: request.key, by: server.id };
    return this.receive({ kind: 'done', code: 200, body });
  }

  async pass(
    server: Server,
    request: ForwardedRequest,
    sink: ResponseSink,
    ...bounds: SendBounds
  ): Promise<BackendOutcome> {
    const faults = this.servers.faultsOf(server.id);
    const failure = await this.send(server, bounds);
    if (failure) return failure;
    const key = headerOf(request, 'operation-key');
    const table = key === '' ? undefined : this.servers.keyTable(server.pool);
    const known = table?.get(key);
    if (known?.state === 'running')
      return this.receive({ kind: 'declined', text: 'the key is running', keyInProgress: true });
    const run: PassRun = { server, number: this.servers.beginRequest(), faults, bounds };
    if (known) {
      this.deliver(known, sink);
      return this.endPass(run);
    }
    table?.begin(key);
    const { head, complete, reply } = await this.execute(run, request, sink);
    table?.end(key, complete ? { head, reply } : undefined);
    return complete
      ? this.endPass(run)
      : this.receive({ kind: 'lost', text: `${server.id} broke off the response` });
  }

  /** Executes a request on a pass route, records the execution and sends its response. */
  private async execute(
    { server, number, faults, bounds: [signal] }: PassRun,
    request: ForwardedRequest,
    sink: ResponseSink,
  ): Promise<PassExecution> {
    const { clock, rng } = this.servers;
    const began = clock.now();
    this.servers.addBusy(server, 1);
    const { incarnation } = this;
    const { head, ...executed } = await executePass(
      { by: server.id, number, faults, clock, rng, incarnation, signal },
      request,
      sink,
    );
    this.servers.addBusy(server, -1);
    this.servers.record(server, {
      kind: 'pass',
      attempt: request.attempt,
      began,
      said: Buffer.from(request.body).toString('latin1'),
      ...executed,
    });
    return { head, ...executed };
  }

  /** What the front learns of a complete response on a pass route, by the server's faults. */
  private async endPass({ server, number, faults, bounds }: PassRun): Promise<BackendOutcome> {
    const [signal, timeoutMs] = bounds;
    const text = `the response from ${server.id}`;
    if (faults.namesOtherAttempt)
      return this.receive({ kind: 'lost', text: `${text} names another attempt` });
    if (!isEveryNth(faults.loseEvery, number))
      return this.receive({ kind: 'done', code: 200, body: null });
    if (faults.losesSilently) await delay(this.frontClock, timeoutMs, signal);
    return this.receive({ kind: 'lost', text: `${text} was lost` });
  }

  /** Sends the recorded answer of a key to a repeat of it. */
  private deliver({ head, reply }: RecordedAnswer, sink: ResponseSink): void {
    this.incarnation.do(() => {
      sink.head(head);
      sink.bytes(reply);
    });
  }

  async load(server: Server, timeoutMs: number): Promise<ServerStatus> {
    const faults = this.servers.faultsOf(server.id);
    this.servers.healthChecks++;
    await delay(this.frontClock, sendMs);
    if (faults.unresponsive) await delay(this.frontClock, timeoutMs);
    if (!this.servers.accepts(this.front, server) || faults.unresponsive)
      throw new Error('refused');
    return { busy: this.servers.busyOf(server), draining: faults.draining };
  }

  /** Sends a request to a server; resolves with the outcome if the server does not respond, else with undefined. */
  private async send(
    server: Server,
    [signal, timeoutMs, mayStillRun]: SendBounds,
  ): Promise<BackendOutcome | undefined> {
    this.servers.asked++;
    await delay(this.frontClock, sendMs);
    if (!mayStillRun())
      return { kind: 'declined', text: `the request to ${server.id} was cancelled before it ran` };
    if (!this.servers.accepts(this.front, server)) return { kind: 'never-left', text: 'refused' };
    const faults = this.servers.faultsOf(server.id);
    if (faults.declines) return this.receive({ kind: 'declined', text: 'full' });
    if (faults.neverReplies || faults.unresponsive) {
      await delay(this.frontClock, timeoutMs, signal);
      return { kind: 'lost', text: `${server.id} did not respond` };
    }
    return faults.resets
      ? this.receive({ kind: 'lost', text: `${server.id} reset the connection` })
      : undefined;
  }

  private async receive(outcome: BackendOutcome): Promise<BackendOutcome> {
    await delay(this.frontClock, receiveMs);
    return outcome;
  }
}

const losesResponseEnd = (faults: ServerFaults, requestNumber: number): boolean =>
  faults.fails || isEveryNth(faults.loseEvery, requestNumber);
