/** Findings: what is wrong with a file, and where, for whoever wrote it. */
import { ValidationError } from 'yup';
import type { LineCounter } from 'yaml';

/** One thing that is wrong: the path of a key, or a line and column, and what to do about it. */
export interface Finding {
  readonly place: string;
  readonly text: string;
}

/** What the YAML parser says of a text: a message, and where it begins and ends, in characters. */
export interface YamlProblem {
  readonly message: string;
  readonly pos: readonly [begin: number, end: number];
}

/** The findings of a text that is no YAML. */
export const yamlFindings = (
  errors: readonly YamlProblem[],
  counter: LineCounter,
): readonly Finding[] =>
  errors.map((error) => {
    const { line, col } = counter.linePos(error.pos[0]);
    const text = error.message.split('\n')[0] ?? error.message;
    return { place: `line ${line}, column ${col}`, text };
  });

/** The findings of a value that breaks its schema; an error of another kind is thrown again. */
export const yupFindings = (error: unknown): readonly Finding[] => {
  if (!(error instanceof ValidationError)) throw error;
  const errors = error.inner.length > 0 ? error.inner : [error];
  return errors.map((inner) => ({ place: inner.path ?? '', text: inner.errors.join('; ') }));
};
