import { createHash } from 'node:crypto';

const digestLength = 16;

/** The first 16 hex digits of a text's SHA-256 hash: enough to distinguish two requests with the same key. */
export const shortDigest = (text: string): string =>
  createHash('sha256').update(text).digest('hex').slice(0, digestLength);
