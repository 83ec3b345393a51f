/** Errors of data folders and journals, and which of them pass by themselves. */
import { UnavailableError, type ExecutionStatus } from '@tillerstair/wire';

/** A data folder is locked by a process that still runs. */
export class FolderInUseError extends Error {
  override readonly name = 'FolderInUseError';
}

/** A log has valid records behind a damaged one, so it was not merely torn by a loss of power. */
export class JournalDamagedError extends Error {
  override readonly name = 'JournalDamagedError';
}

/**
 * A record is not known to be on disk. `executed` is `no` for one that was refused before it was written, and `unknown`
 * for one whose write failed or took too long.
 */
export class JournalUnavailableError extends UnavailableError {
  override readonly name = 'JournalUnavailableError';

  constructor(journalName: string, reason: string, executed: ExecutionStatus) {
    super('unavailable', `${journalName} cannot be written: ${reason}`, executed);
  }
}

const transientErrorCodes: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT', 'EIO']);

/** The code of a system error, as in `ENOENT`; empty for any other error. */
export const systemErrorCode = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';

/** Whether an error says that the disk accepts no bytes at present, which may pass by itself. */
export const isTransientDiskError = (error: unknown): boolean =>
  transientErrorCodes.has(systemErrorCode(error));

/** The message of an error, or the text of anything else that was thrown. */
export const errorText = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
