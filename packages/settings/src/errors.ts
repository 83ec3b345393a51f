/** What is wrong with settings. */

/** One fault, with the setting or the line of the file that it is at. */
export interface Finding {
  readonly place: string;
  readonly text: string;
}

/** Settings that a program cannot start with. */
export class InvalidSettingsError extends Error {
  override readonly name = 'InvalidSettingsError';

  constructor(readonly findings: readonly Finding[]) {
    super(findings.map(({ place, text }) => `${place}: ${text}`).join('\n'));
  }
}
