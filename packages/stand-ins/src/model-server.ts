/** Stand-in model server: streams generated replies at a configured rate, with a prefix cache and fault injection. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { hostClock, delay, readBody, sendJson } from '@tillerstair/wire';
import { attemptIdOf, type ExecutionLog } from './execution-log.js';
import { FaultyServer } from './faulty-server.js';
import { blockLength, blocksOf, PromptCache, type PromptMessage } from './prompt-cache.js';

/** Options of a stand-in model server. */
export interface ModelServerOptions {
  readonly id: string;
  readonly pool: string;
  /** IP:PORT to listen on. */
  readonly addr: string;
  /** Prefill time in ms per 1024 characters of the prompt that are not cached. */
  readonly prefillMsPerKb: number;
  /** Decode time per token in ms. */
  readonly msPerToken: number;
  /** Requests in flight above which decoding slows down; at four times that number, requests are refused with 503. */
  readonly slots: number;
  /** Capacity of the prefix cache, in units of 1024 characters. */
  readonly cacheKb: number;
}

const GenerateRequest = z.object({
  id: z.string(),
  messages: z.array(z.object({ role: z.string(), text: z.string() })),
  maxTokens: z.number(),
});
type GenerateRequest = z.infer<typeof GenerateRequest>;

const maxRequestBytes = 16 << 20;
const maxInFlightPerSlot = 4;
/** Number of tokens sent before the `cutAfter` fault cuts off a reply. */
const tokensBeforeCut = 3;
const recordedPromptLength = 60;
const minReplyTokens = 8;
const replyTokenRange = 24;

/** The tokens of the reply to a conversation, identical on every server; at least one and at most `maxTokens`. */
const generateReply = (
  messages: readonly PromptMessage[],
  maxTokens: number,
): readonly string[] => {
  const digest = createHash('sha256').update(JSON.stringify(messages)).digest();
  const length = minReplyTokens + (digest.readUInt8(0) % replyTokenRange);
  return Array.from(
    { length: Math.max(1, Math.min(maxTokens, length)) },
    (_, i) => `w${digest.readUInt8(i % digest.length).toString(36)}${i} `,
  );
};

/** The part of a reply that has been sent so far. */
interface Progress {
  tokens: number;
  reply: string;
  /** Whether all tokens were sent; the end line may still have been lost. */
  complete: boolean;
}

/** One generation in progress. */
interface Generation {
  readonly request: GenerateRequest;
  readonly response: ServerResponse;
  /** Aborted when the client closes the connection. */
  readonly closed: AbortSignal;
  /** Number of this request, counted from 1 over all requests that the server accepted. */
  readonly requestNumber: number;
  /** Number of blocks of the prompt that were not in the cache. */
  readonly uncachedBlocks: number;
}

/** A stand-in model server that listens on its own port. */
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
    if (this.busy >= this.options.slots * maxInFlightPerSlot) {
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
        requestNumber: this.requestCount,
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
        attempt: attemptIdOf(incoming),
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
    const { request, response, closed, requestNumber } = generation;
    const slowdown = this.faults.slow ?? 1;
    const loadFactor = Math.max(1, this.busy / this.options.slots);
    const uncachedKb = (generation.uncachedBlocks * blockLength) / 1024;
    await delay(hostClock, uncachedKb * this.options.prefillMsPerKb * slowdown, closed);
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    for (const text of generateReply(request.messages, request.maxTokens)) {
      if (closed.aborted) return;
      if (
        progress.tokens >= tokensBeforeCut &&
        this.faultApplies(this.faults.cutAfter, requestNumber)
      ) {
        response.destroy();
        return;
      }
      response.write(`${JSON.stringify({ id: request.id, n: progress.tokens, text })}\n`);
      progress.tokens++;
      progress.reply += text;
      await delay(hostClock, this.options.msPerToken * slowdown * loadFactor, closed);
    }
    progress.complete = true;
    if (this.faultApplies(this.faults.loseEnd, requestNumber)) response.destroy();
    else
      response.end(`${JSON.stringify({ id: request.id, end: true, chunks: progress.tokens })}\n`);
  }
}
