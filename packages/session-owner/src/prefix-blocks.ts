/**
 * Identifies the prefixes of a prompt, by which placement estimates what a server has in its prefix cache
 * (docs/design.md, "Placement"). The name of a block is a hash of the block and of all blocks before it.
 */
import { createHash } from 'node:crypto';
import type { ConversationMessage } from './backend.js';

/** A block of a prompt, identified by the prefix that ends with it. */
export interface PrefixBlock {
  /** Hash of the block and of all blocks before it. */
  readonly name: string;
  /** Tokens of the block alone. */
  readonly tokens: number;
}

const nameLength = 12;
const blockCharacters = 256;
const charactersPerToken = 4;

const chainedName = (previous: string, ...parts: readonly string[]): string => {
  const hash = createHash('sha1').update(previous);
  for (const part of parts) hash.update(part);
  return hash.digest('base64url').slice(0, nameLength);
};

/** The blocks of a prompt from the parts that the caller listed, each with its number of tokens. */
export const prefixBlocksOfParts = (
  parts: readonly (readonly [id: string, tokens: number])[],
): readonly PrefixBlock[] => {
  let name = '';
  return parts.map(([id, tokens]) => {
    name = chainedName(name, id);
    return { name, tokens };
  });
};

/** The blocks of a conversation: each message is split every 256 characters; 4 characters count as one token. */
export const prefixBlocksOfMessages = (
  messages: readonly ConversationMessage[],
): readonly PrefixBlock[] => {
  const blocks: PrefixBlock[] = [];
  let name = '';
  for (const message of messages)
    for (let start = 0; start < message.text.length; start += blockCharacters) {
      name = chainedName(name, message.role, message.text.slice(start, start + blockCharacters));
      blocks.push({ name, tokens: blockCharacters / charactersPerToken });
    }
  return blocks;
};

/** Number of tokens of a prompt; 0 if the prompt is not known. */
export const countTokens = (prompt: readonly PrefixBlock[]): number =>
  prompt.reduce((tokens, block) => tokens + block.tokens, 0);
