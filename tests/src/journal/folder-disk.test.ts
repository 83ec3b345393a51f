/** The lock of a data folder, and the replacement and renaming of its files. */
import { spawn } from 'node:child_process';
import { mkdir, mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import { FolderDisk, FolderInUseError } from '@tillerstair/journal';

const folders = suite('data folders');

const inFolder = async (use: (folder: string) => Promise<void>): Promise<void> => {
  const folder = await mkdtemp(join(tmpdir(), 'tillerstair-folder-'));
  try {
    await use(folder);
  } finally {
    await rm(folder, { recursive: true });
  }
};

const isLocked = (folder: string): Promise<boolean> =>
  FolderDisk.acquire(folder).then(
    async (disk) => {
      await disk.release();
      return false;
    },
    (error: unknown) => {
      assert.instance(error, FolderInUseError);
      return true;
    },
  );

/** The start time of a process, as a lock file states it. */
const startTimeOf = async (pid: number): Promise<string> => {
  const text = await readFile(`/proc/${pid}/stat`, 'utf8');
  return text.slice(text.lastIndexOf(')') + 2).split(' ')[19] ?? '';
};

folders('a folder is locked as long as the process that holds the lock runs', () =>
  inFolder(async (folder) => {
    const holder = spawn(process.execPath, ['-e', 'process.stdin.resume()'], {
      stdio: ['pipe', 'ignore', 'ignore'],
    });
    const pid = holder.pid ?? 0;
    await writeFile(join(folder, 'lock'), `${pid} ${await startTimeOf(pid)}`);
    assert.is(await isLocked(folder), true);
    const ended = new Promise((done) => holder.once('close', done));
    holder.kill('SIGKILL');
    await ended;
    assert.is(await isLocked(folder), false);
  }),
);

folders('a lock of an earlier process with the same id is ignored', () =>
  inFolder(async (folder) => {
    await writeFile(join(folder, 'lock'), `${process.pid} 1`);
    assert.is(await isLocked(folder), false);
  }),
);

folders('a lock without a start time is ignored', () =>
  inFolder(async (folder) => {
    await writeFile(join(folder, 'lock'), `${process.pid}`);
    assert.is(await isLocked(folder), false);
  }),
);

folders('a file whose replacement fails is unchanged, and no temporary file is left', () =>
  inFolder(async (folder) => {
    const disk = await FolderDisk.acquire(folder);
    const file = await disk.open('a.log');
    await file.append(Buffer.from('old'));
    const failing = function* (): Generator<Buffer> {
      yield Buffer.from('new');
      throw new Error('source of chunks failed');
    };
    const outcome = await file.replace(failing()).then(
      () => 'replaced',
      (error: unknown) => String(error),
    );
    assert.is(outcome, 'Error: source of chunks failed');
    await file.append(Buffer.from('er'));
    assert.is(await readFile(join(folder, 'a.log'), 'utf8'), 'older');
    assert.equal([...(await readdir(folder))].sort(), ['a.log', 'lock']);
    await file.close();
    await disk.release();
  }),
);

folders('the temporary file of an interrupted replacement is removed when the file is opened', () =>
  inFolder(async (folder) => {
    await writeFile(join(folder, 'a.log.next'), 'half');
    const disk = await FolderDisk.acquire(folder);
    await (await disk.open('a.log')).close();
    assert.equal([...(await readdir(folder))].sort(), ['a.log', 'lock']);
    await disk.release();
  }),
);

folders('a file that is set aside keeps its bytes; a missing file is no error', () =>
  inFolder(async (folder) => {
    const disk = await FolderDisk.acquire(folder);
    await disk.setAside('a.log');
    await writeFile(join(folder, 'a.log'), 'bytes');
    await disk.setAside('a.log');
    assert.is(await readFile(join(folder, 'a.log.damaged'), 'utf8'), 'bytes');
    assert.equal([...(await readdir(folder))].sort(), ['a.log.damaged', 'lock']);
    await writeFile(join(folder, 'b.log'), 'bytes');
    await mkdir(join(folder, 'b.log.damaged'));
    const outcome = await disk.setAside('b.log').then(
      () => 'set aside',
      (error: unknown) => (error instanceof Error && 'code' in error ? error.code : ''),
    );
    assert.is(outcome, 'EISDIR');
    await disk.release();
  }),
);

folders.run();
