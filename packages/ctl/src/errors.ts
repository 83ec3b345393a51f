/** Errors of the command line. Both end the program with exit code 2: nothing was changed. */

/** The arguments or files of a command are invalid; the message has one line for each finding. */
export class InvalidInputError extends Error {}

/** No control could be reached, or its reply could not be parsed; nothing was changed. */
export class NotReachableError extends Error {}

/** The message of a thrown value. */
export const messageOf = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
