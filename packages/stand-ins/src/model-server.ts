/** A model server that streams made-up replies at a set pace, with a prefix cache and faults. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { hostClock, delay, readBody, sendJson } from '@tillerstair/wire';
import { attemptOf, type ExecutionLog } from './execution-log.js';
import { FaultyServer } from './faulty-server.js';
import { blockLength, blocksOf, PromptCache, type PromptMessage } from './prompt-cache.js';

/** How a model server is set up. */
export interface ModelServerOptions {
  readonly id: string;
  readonly pool: string;
  /** IP:PORT to listen at. */
  readonly addr: string;
  readonly prefillMsPerKb: number;
  readonly msPerToken: number;
  /** Requests that it serves at full pace; it refuses at four times that number. */
  readonly slots: number;
  readonly cacheKb: number;
}

const GenerateRequest = z.object({
  id: z.string(),
  messages: z.array(z.object({ role: z.string(), text: z.string() })),
  maxTokens: z.number(),
});
type GenerateRequest = z.infer<typeof GenerateRequest>;

const maxRequestBytes = 16 << 20;
const refusesAtSlots = 4;
/** A reply that is broken off early has this many tokens. */
const tokensBeforeCut = 3;
const recordedPromptLength = 60;
const shortestReply = 8;
const replyLengths = 24;

/** The tokens of the reply to a conversation, the same at each server; at least one and at most `maxTokens`. */
const replyTo = (messages: readonly PromptMessage[], maxTokens: number): readonly string[] => {
  const digest = createHash('sha256').update(JSON.stringify(messages)).digest();
  const length = shortestReply + (digest.readUInt8(0) % replyLengths);
  return Array.from(
    { length: Math.max(1, Math.min(maxTokens, length)) },
    (_, i) => `w${digest.readUInt8(i % digest.length).toString(36)}${i} `,
  );
};

/** What has been sent of a reply so far. */
interface Progress {
  tokens: number;
  reply: string;
  /** All tokens were made; the end may still have been lost on its way. */
  complete: boolean;
}

/** One generation under way. */
interface Generation {
  readonly request: GenerateRequest;
  readonly response: ServerResponse;
  /** Aborted when the client closes the connection. */
  readonly closed: AbortSignal;
  /** How many requests this server had with this one. */
  readonly number: number;
  /** Blocks of the prompt that are not in the cache. */
  readonly uncachedBlocks: number;
}

/** A model server on a port of its own. */
export class ModelServer extends FaultyServer {
  private readonly cache: PromptCache;

  constructor(
    readonly options: ModelServerOptions,
    private readonly log: ExecutionLog,
  ) {
    super(options.addr, '/v1/generate');
    this.cache = new PromptCache(options.cacheKb);
  }

  protected async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const request = GenerateRequest.parse(JSON.parse(await readBody(incoming, maxRequestBytes)));
    if (this.busy >= this.options.slots * refusesAtSlots) {
      sendJson(response, 503, { executed: 'no' });
      return;
    }
    const closed = new AbortController();
    response.on('close', () => closed.abort());
    this.busy++;
    this.requestCount++;
    const began = Date.now();
    const progress: Progress = { tokens: 0, reply: '', complete: false };
    const blocks = blocksOf(request.messages);
    const cached = this.cache.add(blocks);
    try {
      const generation = {
        request,
        response,
        closed: closed.signal,
        number: this.requestCount,
        uncachedBlocks: blocks.length - cached,
      };
      await this.generate(generation, progress);
    } finally {
      this.busy--;
      this.log.add({
        kind: 'generate',
        server: this.options.id,
        pool: this.options.pool,
        id: request.id,
        key: '',
        attempt: attemptOf(incoming),
        program: request.id.split('/')[0] ?? '',
        began,
        at: Date.now(),
        tokens: progress.tokens,
        cached,
        prompt: blocks.length,
        said: (request.messages.at(-1)?.text ?? '').slice(-recordedPromptLength),
        reply: progress.reply,
        complete: progress.complete,
      });
    }
  }

  private async generate(generation: Generation, progress: Progress): Promise<void> {
    const { request, response, closed, number } = generation;
    const slowness = this.faults.slow ?? 1;
    const crowding = Math.max(1, this.busy / this.options.slots);
    const uncachedKb = (generation.uncachedBlocks * blockLength) / 1024;
    await delay(hostClock, uncachedKb * this.options.prefillMsPerKb * slowness, closed);
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    for (const text of replyTo(request.messages, request.maxTokens)) {
      if (closed.aborted) return;
      if (progress.tokens >= tokensBeforeCut && this.faultApplies(this.faults.cutAfter, number)) {
        response.destroy();
        return;
      }
      response.write(`${JSON.stringify({ id: request.id, n: progress.tokens, text })}\n`);
      progress.tokens++;
      progress.reply += text;
      await delay(hostClock, this.options.msPerToken * slowness * crowding, closed);
    }
    progress.complete = true;
    if (this.faultApplies(this.faults.loseEnd, number)) response.destroy();
    else
      response.end(`${JSON.stringify({ id: request.id, end: true, chunks: progress.tokens })}\n`);
  }
}
