import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { z } from 'zod';
import { hostClock, delay, readBody, sendJson } from '@tillerstair/wire';
import { FaultyServer } from './faults.js';
import { attemptOf, saidOf, type Ledger } from './ledger.js';

export interface ModelSpec {
  readonly id: string;
  readonly pool: string;
  readonly addr: string;
  readonly prefillMsPerKb: number;
  readonly msPerToken: number;
  readonly slots: number;
  readonly cacheKb: number;
}

const Generate = z.object({
  id: z.string(),
  messages: z.array(z.object({ role: z.string(), text: z.string() })),
  maxTokens: z.number(),
});
const block = 256;

export const blocksOf = (
  messages: readonly { role: string; text: string }[],
): readonly string[] => {
  const out: string[] = [];
  let h = '';
  for (const m of messages)
    for (let i = 0; i < m.text.length; i += block) {
      h = createHash('sha1')
        .update(h)
        .update(m.role)
        .update(m.text.slice(i, i + block))
        .digest('base64url')
        .slice(0, 12);
      out.push(h);
    }
  return out;
};

export const replyTo = (
  messages: readonly { role: string; text: string }[],
  most: number,
): readonly string[] => {
  const h = createHash('sha256').update(JSON.stringify(messages)).digest();
  const count = Math.max(1, Math.min(most, 8 + ((h[0] ?? 0) % 24)));
  return Array.from({ length: count }, (_, i) => `w${(h[i % 32] ?? 0).toString(36)}${i} `);
};

export class ModelServer extends FaultyServer {
  private readonly cache = new Map<string, true>();

  constructor(
    readonly spec: ModelSpec,
    private readonly ledger: Ledger,
  ) {
    super(spec.addr, '/v1/generate');
  }

  protected async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const g = Generate.parse(JSON.parse(await readBody(req, 16 << 20)));
    if (this.busy >= this.spec.slots * 4) return sendJson(res, 503, { executed: 'no' });
    const gone = new AbortController();
    res.on('close', () => gone.abort());
    this.busy++;
    this.served++;
    const nth = this.served;
    const began = Date.now();
    let tokens = 0;
    let reply = '';
    let complete = false;
    const blocks = blocksOf(g.messages);
    const cached = this.warm(blocks);
    try {
      const slow = this.faults.slow ?? 1;
      const crowd = Math.max(1, this.busy / this.spec.slots);
      await delay(
        hostClock,
        ((blocks.length - cached) * block * this.spec.prefillMsPerKb * slow) / 1024,
        gone.signal,
      );
      res.writeHead(200, { 'content-type': 'application/x-ndjson' });
      for (const text of replyTo(g.messages, g.maxTokens)) {
        if (gone.signal.aborted) return;
        if (tokens >= 3 && this.loses(this.faults.cutAfter, nth)) {
          res.destroy();
          return;
        }
        res.write(`${JSON.stringify({ id: g.id, n: tokens, text })}\n`);
        tokens++;
        reply += text;
        await delay(hostClock, this.spec.msPerToken * slow * crowd, gone.signal);
      }
      complete = true;
      if (this.loses(this.faults.loseEnd, nth)) {
        res.destroy();
        return;
      }
      res.end(`${JSON.stringify({ id: g.id, end: true, chunks: tokens })}\n`);
    } finally {
      this.busy--;
      this.ledger.add({
        kind: 'generate',
        server: this.spec.id,
        pool: this.spec.pool,
        id: g.id,
        key: '',
        attempt: attemptOf(req),
        program: g.id.split('/')[0] ?? '',
        began,
        at: Date.now(),
        tokens,
        cached,
        prompt: blocks.length,
        said: saidOf(g.messages.at(-1)?.text ?? ''),
        reply,
        complete,
      });
    }
  }

  private warm(blocks: readonly string[]): number {
    let hit = 0;
    while (hit < blocks.length && this.cache.has(blocks[hit] ?? '')) hit++;
    for (const b of blocks) {
      this.cache.delete(b);
      this.cache.set(b, true);
    }
    while (this.cache.size * block > this.spec.cacheKb * 1024) {
      const oldest = this.cache.keys().next().value;
      if (oldest === undefined) break;
      this.cache.delete(oldest);
    }
    return hit;
  }
}
