/** Errors of data folders and journals, and which system errors are transient. */
import { systemErrorCodeOf, UnavailableError, type ExecutionStatus } from '@tillerstair/wire';

/** The data folder is locked by a running process. */
export class FolderInUseError extends Error {
  override readonly name = 'FolderInUseError';
}

/** A log has valid records after a damaged one, which a power loss during an append cannot cause. */
export class JournalDamagedError extends Error {
  override readonly name = 'JournalDamagedError';
}

/**
 * A record was not confirmed to be on disk. `executed` is `no` if it was rejected before it was written, and `unknown`
 * if its write failed or timed out.
 */
export class JournalUnavailableError extends UnavailableError {
  override readonly name = 'JournalUnavailableError';

  constructor(journalName: string, reason: string, executed: ExecutionStatus) {
    super('unavailable', `${journalName} cannot be written: ${reason}`, executed);
  }
}

const transientErrorCodes: ReadonlySet<string> = new Set(['ENOSPC', 'EDQUOT', 'EIO']);

/**
 * Whether a disk error is transient: the disk is full, the quota is exceeded, or I/O fails (`ENOSPC`, `EDQUOT`, `EIO`).
 */
export const isTransientDiskError = (error: unknown): boolean =>
  transientErrorCodes.has(systemErrorCodeOf(error));

/** The message of an error, or any other thrown value as a string. */
export const errorText = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);
