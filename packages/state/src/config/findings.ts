/** Findings: problems in a configuration file, and their place in it. */
import { ValidationError } from 'yup';
import type { LineCounter } from 'yaml';

/** A problem: the path of a key, or a line and column, and what is wrong. */
export interface Finding {
  readonly place: string;
  readonly text: string;
}

/** An error of the YAML parser: its message, and the offsets of its begin and end, in characters. */
export interface YamlProblem {
  readonly message: string;
  readonly pos: readonly [begin: number, end: number];
}

/** The findings of a text that is not valid YAML. */
export const yamlFindings = (
  errors: readonly YamlProblem[],
  counter: LineCounter,
): readonly Finding[] =>
  errors.map((error) => {
    const { line, col } = counter.linePos(error.pos[0]);
    const text = error.message.split('\n')[0] ?? error.message;
    return { place: `line ${line}, column ${col}`, text };
  });

/** The findings of a value that violates its schema. Rethrows an error of another kind. */
export const yupFindings = (error: unknown): readonly Finding[] => {
  if (!(error instanceof ValidationError)) throw error;
  const errors = error.inner.length > 0 ? error.inner : [error];
  return errors.map((inner) => ({ place: inner.path ?? '', text: inner.errors.join('; ') }));
};
