/** The callers of a storm: programs that send turns and keyed calls, retry like clients, and read history later. */
import type { ReplyRecord } from '@tillerstair/checker';
import { PendingWork } from './pending-work.js';
import type { World } from './world.js';

const turnsPerChat = 3;
const turnAttempts = 3;
const callAttempts = 4;
/** Share of turns and of calls that a caller sends twice at once. */
const duplicateTurnShare = 0.1;
const duplicateCallShare = 0.3;
const subAgentShare = 0.2;
const subAgentBudget = 30;

/** One conversation: its program, and the last turn, which the next one follows. */
interface Chat {
  readonly number: number;
  program: string;
  after: string | null;
}

/** Runs chats; the world records each of their requests. */
export class StormCallers {
  /** Chats and requests in flight; a storm ends only after all of them. */
  readonly pending = new PendingWork();
  /** Called, if set, for each successful reply that a caller gets. */
  onDone: ((reply: ReplyRecord) => void) | undefined;
  private requestCount = 0;

  constructor(
    private readonly world: World,
    private readonly delay: (ms: number) => Promise<void>,
  ) {}

  beginChat(): void {
    this.pending.add(this.chat(this.requestCount++));
  }

  /** Sends urgent calls all at once; resolves when all are answered. */
  async sendUrgentCalls(count: number): Promise<void> {
    await Promise.all(
      Array.from({ length: count }, (_, i) =>
        this.world
          .call(`a${this.requestCount++}-${i}`, '/alarm', { i })
          .then((reply) => this.reportDone(reply)),
      ),
    );
  }

  private reportDone(reply: ReplyRecord): ReplyRecord {
    if (reply.reported === 'done') this.onDone?.(reply);
    return reply;
  }

  private async chat(number: number): Promise<void> {
    const created = this.reportDone(await this.world.program(number % 3 === 0 ? 30 : 120));
    if (created.reported !== 'done') return;
    const chat: Chat = { number, program: created.program, after: null };
    for (let step = 0; step < turnsPerChat; step++) {
      await this.sendTurn(chat, step);
      await this.sendCall(chat, step);
      if (step === 0 && this.world.rng() < subAgentShare) await this.continueAsSubAgent(chat);
    }
  }

  private async sendTurn(chat: Chat, step: number): Promise<void> {
    const { world } = this;
    const { number, program, after } = chat;
    const prompt = `turn ${step} of ${number} #${number}-${step}`;
    const key = `t${number}-${step}`;
    for (let attempt = 0; attempt < turnAttempts; attempt++) {
      if (world.rng() < duplicateTurnShare)
        this.pending.add(world.turn(program, after, prompt, key));
      const reply = this.reportDone(await world.turn(program, after, prompt, key));
      if (reply.reported === 'done') {
        chat.after = reply.turn;
        this.pending.add(this.fetchLater(program, reply.turn));
        return;
      }
      if (reply.reported === 'partial') return;
      await this.delay(100 + world.rng() * 900);
    }
  }

  private async sendCall({ number }: Chat, step: number): Promise<void> {
    const { world } = this;
    const key = `o${number}-${step}`;
    const body = { n: number, i: step };
    for (let attempt = 0; attempt < callAttempts; attempt++) {
      const call = world.call(key, '/hold', body);
      if (world.rng() < duplicateCallShare) this.pending.add(world.call(key, '/hold', body));
      if (this.reportDone(await call).reported === 'done') return;
      await this.delay(100 + world.rng() * 1500);
    }
  }

  private async continueAsSubAgent(chat: Chat): Promise<void> {
    const subAgent = await this.world.program(subAgentBudget, undefined, chat.program);
    if (subAgent.reported !== 'done') return;
    chat.program = subAgent.program;
    chat.after = null;
  }

  private async fetchLater(program: string, turn: string): Promise<void> {
    const { world } = this;
    await this.delay(world.rng() * (world.rng() < 0.5 ? 5000 : 59000));
    await world.fetch(program, turn);
  }
}
