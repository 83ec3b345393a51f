/** Keys, ids and digests of programs and turns, as they are stored by replicas (`docs/design.md`). */
import { rootProgramId } from '@tillerstair/state';
import { shortDigest } from './short-digest.js';
import type { TurnValue } from './stored-values.js';

/** The id of a turn: the same for every request with the same program and key. */
export const turnIdOf = (pid: string, key: string): string => `t-${shortDigest(`${pid}\n${key}`)}`;

/** The digest that callers compare a turn's text with. */
const textDigest = (chunks: readonly string[]): string => shortDigest(chunks.join(''));

/** The key under which replicas store a program. */
export const programKey = (pid: string): string => `p/${pid}`;

/** The slot key of a program: sub-programs belong to the slot of their root. */
export const programSlotKey = (pid: string): string => programKey(rootProgramId(pid));

/** The key under which replicas store a turn. */
export const turnKey = (pid: string, turn: string): string => `p/${pid}/t/${turn}`;

/** The turn or attempt that a turn's key names. */
export const turnIdOfKey = (key: string): string | undefined => key.split('/')[3];

/** What a caller gets as the end of a turn. */
export interface TurnSummary {
  readonly turn: string;
  readonly chunks: number;
  readonly tokens: number;
  readonly digest: string;
}

/** The end of a turn as its record has it. */
export const turnSummary = (turn: string, value: TurnValue): TurnSummary => ({
  turn,
  chunks: value.chunks.length,
  tokens: value.cost,
  digest: textDigest(value.chunks),
});
