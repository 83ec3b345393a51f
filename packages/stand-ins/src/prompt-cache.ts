/** Prefix cache of a stand-in model server: each block of a prompt is hashed together with all blocks before it. */
import { createHash } from 'node:crypto';

/** One message of a conversation. */
export interface PromptMessage {
  readonly role: string;
  readonly text: string;
}

/** Number of characters in a block. */
export const blockLength = 256;

const hashLength = 12;
const bytesPerKb = 1024;

/** The hashes of a prompt's blocks; two prompts share a hash only if they are equal up to and including that block. */
export const blocksOf = (messages: readonly PromptMessage[]): readonly string[] => {
  const blocks: string[] = [];
  let hash = '';
  for (const { role, text } of messages)
    for (let start = 0; start < text.length; start += blockLength) {
      hash = createHash('sha1')
        .update(hash)
        .update(role)
        .update(text.slice(start, start + blockLength))
        .digest('base64url')
        .slice(0, hashLength);
      blocks.push(hash);
    }
  return blocks;
};

/** A cache of block hashes that evicts the least recently used. */
export class PromptCache {
  private readonly blocks = new Set<string>();

  constructor(private readonly capacityKb: number) {}

  /** Adds the blocks of a prompt; returns the length of the prefix, in blocks, that was already cached. */
  add(blocks: readonly string[]): number {
    let hits = 0;
    while (hits < blocks.length && this.blocks.has(blocks[hits] ?? '')) hits++;
    for (const block of blocks) {
      this.blocks.delete(block);
      this.blocks.add(block);
    }
    this.evict();
    return hits;
  }

  private evict(): void {
    for (const oldest of this.blocks) {
      if (this.blocks.size * blockLength <= this.capacityKb * bytesPerKb) return;
      this.blocks.delete(oldest);
    }
  }
}
