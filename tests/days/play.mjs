// Runs each day (a scenario, `*.toml`) of this folder on the users' bench and prints the rules that broke.
// Usage: FLEETBENCH=path/to/fleetbench node tests/days/play.mjs SITE... [--only NAME] [--small]
// Days run one at a time; each adds an entry to journal/. The exit code is 1 if a rule broke or a process ended by
// itself, and 2 for wrong usage.
import { spawnSync } from 'node:child_process';
import { readdirSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { parseArgs } from 'node:util';

const daysFolder = dirname(fileURLToPath(import.meta.url));
const benchProgram = process.env.FLEETBENCH;
const { values, positionals: sites } = parseArgs({
  allowPositionals: true,
  options: { only: { type: 'string', default: '' }, small: { type: 'boolean', default: false } },
});

if (!benchProgram || sites.length === 0) {
  process.stderr.write(
    'usage: FLEETBENCH=PROGRAM node tests/days/play.mjs SITE... [--only NAME] [--small]\n',
  );
  process.exit(2);
}

/** Matches the lines of the bench's output that report a failure. */
const failureLine = /BROKEN|rules broken|ended by itself|short of the gate|fault/;

const runDay = (site, day) => {
  const options = values.small ? ['--small'] : [];
  const benchRun = spawnSync(benchProgram, ['run', site, join(daysFolder, day), ...options], {
    encoding: 'utf8',
    maxBuffer: 1 << 28,
  });
  const failures = `${benchRun.stdout}${benchRun.stderr}`
    .split('\n')
    .filter((line) => failureLine.test(line));
  const verdict = benchRun.status === 0 && failures.length === 0 ? 'kept every rule' : 'see below';
  process.stdout.write(
    `${site} ${day}: ${verdict}\n${failures.map((line) => `  ${line}\n`).join('')}`,
  );
  return verdict === 'kept every rule';
};

const days = readdirSync(daysFolder).filter(
  (file) => file.endsWith('.toml') && file.includes(values.only),
);
const results = sites.flatMap((site) => days.map((day) => runDay(site, day)));
process.exitCode = results.every(Boolean) ? 0 : 1;
