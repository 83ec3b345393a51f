/**
 * The lock file of a data folder: the id and the start time of the process that holds it.
 *
 * A process id alone is used again after a restart of the machine, so a lock counts only while a process runs under its
 * id that started at its time.
 */
import { readFile, unlink, writeFile } from 'node:fs/promises';
import { FolderInUseError, isTransientDiskError } from './errors.js';

const endedProcessStates: ReadonlySet<string> = new Set(['Z', 'X']);

/** Fields of `/proc/PID/stat` behind the command's closing parenthesis (proc(5): fields 3 and 22). */
const stateField = 0;
const startTimeField = 19;

/** The first attempt may meet the lock of a process that ended; the second one finds it removed. */
const maxLockAttempts = 2;

const isAlive = (pid: number): boolean => {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
};

/** When a process started, or '' if it has ended or cannot be seen. */
const startTimeOf = async (pid: number): Promise<string> => {
  try {
    const text = await readFile(`/proc/${pid}/stat`, 'utf8');
    const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
    return endedProcessStates.has(fields[stateField] ?? '') ? '' : (fields[startTimeField] ?? '');
  } catch {
    return '';
  }
};

/** The process that holds a lock, or 0 where none does: a lock that names no start time binds nobody. */
const holderOf = async (lockPath: string): Promise<number> => {
  const text = await readFile(lockPath, 'utf8').catch(() => '');
  const [pidText = '0', startTime = ''] = text.split(' ');
  const pid = Number(pidText);
  if (!(pid > 0) || startTime === '' || !isAlive(pid)) return 0;
  return (await startTimeOf(pid)) === startTime ? pid : 0;
};

/** Removes the lock file, if it is there. */
export const releaseLock = (lockPath: string): Promise<void> =>
  unlink(lockPath).catch(() => undefined);

/**
 * Creates the lock file for this process.
 *
 * @throws FolderInUseError if a running process holds it; a transient disk error where the disk is full.
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
