/** The prefix cache of a stand-in model server: blocks of a prompt, each hashed with all blocks before it. */
import { createHash } from 'node:crypto';

/** One message of a conversation. */
export interface PromptMessage {
  readonly role: string;
  readonly text: string;
}

/** Characters in a block. */
export const blockLength = 256;

const hashLength = 12;
const bytesPerKb = 1024;

/** The hashes of a prompt's blocks; two prompts share a hash where they are alike up to there. */
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

/** A least-recently-used cache of blocks. */
export class PromptCache {
  private readonly blocks = new Set<string>();

  constructor(private readonly capacityKb: number) {}

  /** Takes in a prompt; returns how many of its blocks, from the first on, were there already. */
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
