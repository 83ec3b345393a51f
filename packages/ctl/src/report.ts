/** Prints results and maps them to exit codes. */
import { outcomeUnknownStatus, type ControlReply } from './control-client.js';
import { InvalidInputError, messageOf, NotReachableError } from './errors.js';
import { FindingsReply } from './messages.js';
import type { CommandOptions } from './options.js';

/** Exit codes of the program. */
export const ExitCode = {
  /** The command succeeded. */
  done: 0,
  /** The request was rejected, or the checked state is not as intended. */
  failed: 1,
  /** The input is invalid or no control could be reached; nothing was changed. */
  invalid: 2,
  /** The outcome of the change is unknown. */
  unknown: 3,
} as const;
/** An exit code of the program. */
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

/** Prints an error to standard error, each line prefixed with the program's name. */
export const printError = (text: string): void => {
  for (const line of text.split('\n')) process.stderr.write(`tillerctl: ${line}\n`);
};

/** Prints a result: `body` as JSON with `--json`, else the text of `plain`. */
export const print = (options: CommandOptions, body: unknown, plain: () => string): void => {
  console.log(options.json ? JSON.stringify(body) : plain());
};

const printFailure = ({ status, body }: ControlReply): ExitCode => {
  const reply = FindingsReply.safeParse(body);
  if (!reply.success) printError(`${status}: ${JSON.stringify(body)}`);
  else for (const { place, text } of reply.data.findings) printError(`${place}: ${text}`);
  if (status === outcomeUnknownStatus) {
    printError(
      'it is unknown whether the change took effect; check the status, or submit the same change again',
    );
    return ExitCode.unknown;
  }
  return reply.success ? ExitCode.invalid : ExitCode.failed;
};

/** Prints a control's reply, or its rejection on standard error, and returns the exit code. */
export const report = (options: CommandOptions, reply: ControlReply): ExitCode => {
  if (reply.status >= 200 && reply.status < 300) {
    print(options, reply.body, () => JSON.stringify(reply.body, null, 2));
    return ExitCode.done;
  }
  if (options.json) console.log(JSON.stringify(reply.body));
  return printFailure(reply);
};

/** Runs a command and sets the exit code of the process; an error that it throws is printed. */
export const runCommand = async (command: () => Promise<ExitCode>): Promise<void> => {
  try {
    process.exitCode = await command();
  } catch (error) {
    printError(messageOf(error));
    process.exitCode =
      error instanceof InvalidInputError || error instanceof NotReachableError
        ? ExitCode.invalid
        : ExitCode.failed;
  }
};
