/**
 * Names of a prompt's prefixes, by which placement knows what a server may have in its prefix cache
 * (docs/design.md, "Placement"). Each name stands for a block of the prompt and all that comes before it.
 */
import { createHash } from 'node:crypto';
import type { ConversationMessage } from './backend.js';

/** A block of a prompt with all before it. */
export interface PrefixBlock {
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

/** The blocks of a prompt whose parts the caller named, each with its tokens. */
export const prefixBlocksOfParts = (
  parts: readonly (readonly [id: string, tokens: number])[],
): readonly PrefixBlock[] => {
  let name = '';
  return parts.map(([id, tokens]) => {
    name = chainedName(name, id);
    return { name, tokens };
  });
};

/** The blocks of a conversation: each message is cut every 256 characters, at 4 characters a token. */
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

/** Tokens of a prompt; 0 where it is not known. */
export const countTokens = (prompt: readonly PrefixBlock[]): number =>
  prompt.reduce((tokens, block) => tokens + block.tokens, 0);
