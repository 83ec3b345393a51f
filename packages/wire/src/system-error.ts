/** The code of a system error, for example `ENOENT`; empty for any other error. */
export const systemErrorCodeOf = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';
