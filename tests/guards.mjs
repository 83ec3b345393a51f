/**
 * Mutation test of the guards, which are conditions in the code, listed in tests/guards/*.json, that a test must
 * protect. Replaces the text of one guard at a time by a broken version, on a copy of the repository, and reports
 * whether the guard's test then fails.
 *
 * Usage: node tests/guards.mjs [REGEX on file and name]
 * The last line is `N caught, N missed`; the exit code is 0 only if at least one guard ran and none was missed.
 */
import { spawnSync } from 'node:child_process';
import {
  cpSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join, relative } from 'node:path';
import { fileURLToPath } from 'node:url';

const root = join(dirname(fileURLToPath(import.meta.url)), '..');
const guardFolder = join(root, 'tests', 'guards');
const selected = new RegExp(process.argv[2] ?? '');
/** Folders at the root that neither the build nor a test needs as a copy, or that are copied or linked separately. */
const notCopied = new Set(['.git', 'node_modules', 'run', 'journal', 'target']);

const guards = readdirSync(guardFolder)
  .filter((file) => file.endsWith('.json'))
  .flatMap((file) => JSON.parse(readFileSync(join(guardFolder, file), 'utf8')))
  .filter((guard) => selected.test(`${guard.file} ${guard.name}`));

/** Copies node_modules with its relative links, so that the packages of the copy resolve to the copy's own folders. */
const copyNodeModules = (copy) => {
  cpSync(join(root, 'node_modules'), join(copy, 'node_modules'), {
    recursive: true,
    verbatimSymlinks: true,
  });
};

const makeCopy = () => {
  const copy = mkdtempSync(join(tmpdir(), 'guards-'));
  cpSync(root, copy, {
    recursive: true,
    filter: (path) => !notCopied.has(relative(root, path)),
  });
  copyNodeModules(copy);
  symlinkSync(join(root, 'journal'), join(copy, 'journal'));
  return copy;
};

const testTimeoutMs = 120_000;

/** Runs a command in the copy. One that exceeds the timeout is killed; its status is null. */
const runIn = (copy, command, args) =>
  spawnSync(command, args, {
    cwd: copy,
    encoding: 'utf8',
    maxBuffer: 1 << 28,
    timeout: testTimeoutMs,
  });

const build = (copy) => runIn(copy, 'npm', ['run', '-s', 'build']);

/** Whether the test fails with the guard broken, with a reason if not. A broken version must compile to count. */
const isCaught = (copy, guard) => {
  const path = join(copy, guard.file);
  const text = readFileSync(path, 'utf8');
  if (text.split(guard.find).length !== 2)
    return { caught: false, reason: 'its `find` text does not occur exactly once' };
  writeFileSync(
    path,
    text.replace(guard.find, () => guard.replace),
  );
  try {
    const built = build(copy);
    if (built.status !== 0)
      return { caught: false, reason: `the broken version does not compile: ${built.stdout}` };
    const testRun = runIn(copy, 'node', ['tests/run.js', guard.test]);
    if (/^0 passed, 0 failed$/m.test(testRun.stdout))
      return { caught: false, reason: `no test file matches ${guard.test}` };
    if (testRun.status === null)
      return { caught: false, reason: `its test did not end within ${testTimeoutMs} ms` };
    return { caught: testRun.status !== 0, reason: 'its test passes with the guard broken' };
  } finally {
    writeFileSync(path, text);
  }
};

const copy = makeCopy();
let missed = 0;
try {
  const built = build(copy);
  if (built.status !== 0) throw new Error(`the unchanged copy does not build: ${built.stdout}`);
  for (const guard of guards) {
    const { caught, reason } = isCaught(copy, guard);
    if (!caught) missed++;
    process.stdout.write(
      `${caught ? 'caught' : `MISSED (${reason})`}: ${guard.file}: ${guard.name}\n`,
    );
  }
} finally {
  rmSync(copy, { recursive: true, force: true });
}
process.stdout.write(`${guards.length - missed} caught, ${missed} missed\n`);
process.exitCode = missed === 0 && guards.length > 0 ? 0 : 1;
