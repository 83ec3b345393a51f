/** The servers as one simulated front reaches them; what is sent takes time and meets the servers' faults. */
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
import { executePass } from './sim-pass.js';
import type { SimServers } from './sim-servers.js';

/** How long a request may take, and whether it may still be sent. */
type SendBounds = readonly [signal: AbortSignal, timeoutMs: number, mayStillRun: () => boolean];

const sendMs = 0.5;
const receiveMs = 0.3;
const msPerToken = 5;
const shortestReply = 4;
const replyLengths = 12;
const shortestCallMs = 10;
const callRangeMs = 30;

/** The backend of one front; it stops with the incarnation of the front's process. */
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
    const notRun = await this.send(server, bounds);
    if (notRun) return notRun;
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
    const length = shortestReply + Math.floor(this.servers.rng() * replyLengths);
    const total = Math.min(request.maxTokens, length);
    const cutAt = isEveryNth(faults.cutEvery, number) ? Math.floor(total / 2) : -1;
    let reply = '';
    this.servers.addBusy(server, 1);
    for (let index = 0; index < total; index++) {
      await delay(this.servers.clock, msPerToken * faults.slow);
      if (signal.aborted || this.incarnation.dead || index === cutAt) {
        this.servers.addBusy(server, -1);
        this.servers.record(server, { ...executed, reply, complete: false, tokens: index });
        return this.receive({ kind: 'lost', text: 'the stream stopped' });
      }
      const text = `${server.id}.${number}.${index} `;
      reply += text;
      this.incarnation.do(() => onChunk(index, text));
    }
    this.servers.addBusy(server, -1);
    this.servers.record(server, { ...executed, reply, complete: true, tokens: total });
    if (losesEnd(faults, number)) return this.receive({ kind: 'lost', text: 'the end was lost' });
    return this.receive({ kind: 'done', code: 200, body: total });
  }

  async act(
    server: Server,
    request: ToolCallRequest,
    ...bounds: SendBounds
  ): Promise<BackendOutcome> {
    const faults = this.servers.faultsOf(server.id);
    const notRun = await this.send(server, bounds);
    if (notRun) return notRun;
    const number = this.servers.beginRequest();
    const began = this.servers.clock.now();
    this.servers.addBusy(server, 1);
    const callMs = shortestCallMs + this.servers.rng() * callRangeMs;
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
    if (losesEnd(faults, number))
      return this.receive({ kind: 'lost', text: 'the outcome was lost' });
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
    const notRun = await this.send(server, bounds);
    if (notRun) return notRun;
    const [signal] = bounds;
    const { clock, rng } = this.servers;
    const number = this.servers.beginRequest();
    const began = clock.now();
    this.servers.addBusy(server, 1);
    const { incarnation } = this;
    const executed = await executePass(
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
    if (!executed.complete) return this.receive({ kind: 'lost', text: 'the answer stopped' });
    if (faults.namesOtherAttempt)
      return this.receive({ kind: 'lost', text: 'the response names another attempt' });
    if (isEveryNth(faults.loseEvery, number))
      return this.receive({ kind: 'lost', text: 'the answer was lost' });
    return this.receive({ kind: 'done', code: 200, body: null });
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

  /** Sends a request to a server; undefined if the server runs it. */
  private async send(
    server: Server,
    [signal, timeoutMs, mayStillRun]: SendBounds,
  ): Promise<BackendOutcome | undefined> {
    this.servers.asked++;
    await delay(this.frontClock, sendMs);
    if (!mayStillRun()) return { kind: 'declined', text: 'taken back' };
    if (!this.servers.accepts(this.front, server)) return { kind: 'never-left', text: 'refused' };
    const faults = this.servers.faultsOf(server.id);
    if (faults.declines) return this.receive({ kind: 'declined', text: 'full' });
    if (faults.neverReplies || faults.unresponsive) {
      await delay(this.frontClock, timeoutMs, signal);
      return { kind: 'lost', text: 'the server is silent' };
    }
    return faults.resets
      ? this.receive({ kind: 'lost', text: 'the connection was reset' })
      : undefined;
  }

  private async receive(outcome: BackendOutcome): Promise<BackendOutcome> {
    await delay(this.frontClock, receiveMs);
    return outcome;
  }
}

const losesEnd = (faults: ServerFaults, requestNumber: number): boolean =>
  faults.fails || isEveryNth(faults.loseEvery, requestNumber);
