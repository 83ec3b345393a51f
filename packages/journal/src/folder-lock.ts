/**
 * The lock file of a data folder: the id and the start time of the process that holds the lock.
 *
 * A process id may be reused, for example after a reboot, so a lock is held only while a process with its id and its
 * start time is running.
 */
import { readFile, unlink, writeFile } from 'node:fs/promises';
import { FolderInUseError, isTransientDiskError } from './errors.js';

const endedProcessStates: ReadonlySet<string> = new Set(['Z', 'X']);

/** Indices of fields of `/proc/PID/stat` after the command's closing parenthesis (fields 3 and 22 in proc(5)). */
const stateField = 0;
const startTimeField = 19;

/** The first attempt may find and remove a stale lock; the second one then creates the lock file. */
const maxLockAttempts = 2;

const isAlive = (pid: number): boolean => {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
};

/** The start time of a process as `/proc` states it; empty if the process has ended or cannot be inspected. */
const startTimeOf = async (pid: number): Promise<string> => {
  try {
    const text = await readFile(`/proc/${pid}/stat`, 'utf8');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    return endedProcessStates.has(fields[stateField] ?? '') ? '' : (fields[startTimeField] ?? '');
  } catch {
    return '';
  }
};

/** The id of the running process that holds a lock; 0 if there is none, or if the lock file states no start time. */
const holderOf = async (lockPath: string): Promise<number> => {
  const text = await readFile(lockPath, 'utf8').catch(() => '');
  const [pidText = '0', startTime = ''] = text.split(' ');
  const pid = Number(pidText);
  if (!(pid > 0) || startTime === '' || !isAlive(pid)) return 0;
  return (await startTimeOf(pid)) === startTime ? pid : 0;
};

/** Removes the lock file if it exists; errors are ignored. */
export const releaseLock = (lockPath: string): Promise<void> =>
  unlink(lockPath).catch(() => undefined);

/**
 * Creates the lock file for this process.
 *
 * @throws FolderInUseError if a running process holds the lock; the system error if the disk is full or fails.
 */
export const acquireLock = async (lockPath: string, folder: string): Promise<void> => {
  const lockText = `${process.pid} ${await startTimeOf(process.pid)}`;
  for (let attempt = 0; attempt < maxLockAttempts; attempt++) {
    try {
      await writeFile(lockPath, lockText, { flag: 'wx' });
      return;
    } catch (error) {
      if (isTransientDiskError(error)) {
        await releaseLock(lockPath);
        throw error;
      }
      const holder = await holderOf(lockPath);
      if (holder > 0) throw new FolderInUseError(`${folder} is in use by process ${holder}`);
      await releaseLock(lockPath);
    }
  }
  throw new FolderInUseError(`${folder} cannot be locked`);
};
