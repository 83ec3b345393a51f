/** Errors of settings. */

/** One error in the settings: `place` is the flag, the path of the setting, or the line of the file. */
export interface Finding {
  readonly place: string;
  readonly text: string;
}

/** The settings are invalid, so the program cannot start; the message has one line for each finding. */
export class InvalidSettingsError extends Error {
  override readonly name = 'InvalidSettingsError';

  constructor(readonly findings: readonly Finding[]) {
    super(findings.map(({ place, text }) => `${place}: ${text}`).join('\n'));
  }
}
