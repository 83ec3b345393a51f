/** Errors of the command line; both end it with exit code 2, since nothing was changed. */

/** The arguments or files of a command cannot be used; the message names each finding on a line of its own. */
export class InvalidInputError extends Error {}

/** No control could be asked, or none gave a reply that can be read; nothing was changed. */
export class NotReachableError extends Error {}

/** The message of whatever was thrown. */
export const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
