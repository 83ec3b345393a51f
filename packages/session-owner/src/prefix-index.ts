/** Which servers were sent which prefixes of prompts, so that they may have them in their prefix cache. */
import type { Server } from '@tillerstair/state';
import { countTokens, type PrefixBlock } from './prefix-blocks.js';

/** So many blocks are remembered; beyond that the least recently sent ones are dropped. */
const maxBlocks = 20_000;

/** The servers by prefix block, in the order in which the blocks were last sent. */
export class PrefixIndex {
  private readonly serversByBlock = new Map<string, ReadonlySet<string>>();

  /** Remembers that a server was sent a prompt. */
  record(serverId: string, prompt: readonly PrefixBlock[]): void {
    for (const { name } of prompt) {
      const servers = this.serversByBlock.get(name);
      this.serversByBlock.delete(name);
      this.serversByBlock.set(
        name,
        servers?.has(serverId) ? servers : new Set([...(servers ?? []), serverId]),
      );
    }
    this.dropOldest();
  }

  /**
   * Tells for each server the share of the prompt's tokens, 0 to 1, that it should have cached. Only an unbroken run of
   * blocks from the first one on counts.
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

  private dropOldest(): void {
    while (this.serversByBlock.size > maxBlocks) {
      const oldest = this.serversByBlock.keys().next().value;
      if (oldest === undefined) break;
      this.serversByBlock.delete(oldest);
    }
  }
}
