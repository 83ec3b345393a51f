/** Keys, ids and digests of the records of programs and turns (`docs/design.md`). */
import { rootProgramId } from '@tillerstair/state';
import { shortDigest } from './short-digest.js';
import type { TurnValue } from './stored-values.js';

/** The id of a turn: the same for every request with the same program and key. */
export const turnIdOf = (pid: string, key: string): string => `t-${shortDigest(`${pid}\n${key}`)}`;

/** The digest of a turn's text, with which callers verify the text. */
const textDigest = (chunks: readonly string[]): string => shortDigest(chunks.join(''));

/** The key under which replicas store a program. */
export const programKey = (pid: string): string => `p/${pid}`;

/** The slot key of a program: sub-programs belong to the slot of their root. */
export const programSlotKey = (pid: string): string => programKey(rootProgramId(pid));

/** The key under which replicas store a turn. */
export const turnKey = (pid: string, turn: string): string => `p/${pid}/t/${turn}`;

/** The id of the turn or attempt in a turn's key; undefined if the key has none. */
export const turnIdOfKey = (key: string): string | undefined => key.split('/')[3];

/** The final message of a turn's stream: `chunks` and `tokens` are counts, `digest` is that of the text. */
export interface TurnSummary {
  readonly turn: string;
  readonly chunks: number;
  readonly tokens: number;
  readonly digest: string;
}

/** The summary of a finished turn, from its record. */
export const turnSummary = (turn: string, value: TurnValue): TurnSummary => ({
  turn,
  chunks: value.chunks.length,
  tokens: value.cost,
  digest: textDigest(value.chunks),
});
