import { createHash } from 'node:crypto';

const digestLength = 16;

/** The first hex digits of a text's SHA-256: enough to tell two requests with the same key apart. */
export const shortDigest = (text: string): string =>
  createHash('sha256').update(text).digest('hex').slice(0, digestLength);
