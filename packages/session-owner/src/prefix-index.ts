/** Index of the servers to which each prompt prefix was sent, and which may therefore have it in their prefix cache. */
import type { Server } from '@tillerstair/state';
import { countTokens, type PrefixBlock } from './prefix-blocks.js';

/** Maximum number of indexed blocks; beyond it, the least recently sent blocks are evicted. */
const maxBlocks = 20_000;

/** Server ids by prefix block, ordered by the time when each block was last sent. */
export class PrefixIndex {
  private readonly serversByBlock = new Map<string, ReadonlySet<string>>();

  /** Records that a prompt was sent to a server. */
  record(serverId: string, prompt: readonly PrefixBlock[]): void {
    for (const { name } of prompt) {
      const servers = this.serversByBlock.get(name);
      this.serversByBlock.delete(name);
      this.serversByBlock.set(
        name,
        servers?.has(serverId) ? servers : new Set([...(servers ?? []), serverId]),
      );
    }
    this.evictOldest();
  }

  /**
   * Returns a function that estimates for a server the share of the prompt's tokens, 0 to 1, that it has cached. Only
   * an unbroken run of blocks from the first one counts.
   */
  cachedShareOf(prompt: readonly PrefixBlock[]): (server: Server) => number {
    const total = countTokens(prompt);
    const cachedTokens = new Map<string, number>();
    const unbroken = new Set<string>(this.serversByBlock.get(prompt[0]?.name ?? '') ?? []);
    for (const { name, tokens } of prompt) {
      const servers = this.serversByBlock.get(name);
      for (const id of [...unbroken])
        if (servers?.has(id)) cachedTokens.set(id, (cachedTokens.get(id) ?? 0) + tokens);
        else unbroken.delete(id);
    }
    return (server) => (total === 0 ? 0 : (cachedTokens.get(server.id) ?? 0) / total);
  }

  private evictOldest(): void {
    while (this.serversByBlock.size > maxBlocks) {
      const oldest = this.serversByBlock.keys().next().value;
      if (oldest === undefined) break;
      this.serversByBlock.delete(oldest);
    }
  }
}
