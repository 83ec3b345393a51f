#!/usr/bin/env node
/** `tillerctl`: the command line of operators. This module only names the commands; each is in a module of its own. */
import cac from 'cac';
import { configCommand } from './config-command.js';
import { messageOf } from './errors.js';
import {
  markCommand,
  requestAndReport,
  serverCommand,
  votingControlCommand,
} from './member-commands.js';
import { optionsOf } from './options.js';
import { ExitCode, printError, runCommand } from './report.js';
import { compareCommand, marginCommand } from './view-commands.js';

const cli = cac('tillerctl');
cli.option('--at <addresses>', "Controls' HTTP addresses, comma-separated (or TILLERCTL_AT)");
cli.option('--json', 'Print JSON');
cli.option('--within <ms>', 'Deadline of one request');

cli
  .command('status', 'What the master knows, majority-confirmed')
  .action((options: object) =>
    runCommand(async () =>
      requestAndReport(optionsOf(options), { method: 'GET', path: '/v1/status' }),
    ),
  );

cli
  .command(
    'margin',
    'How many more losses the voting controls and each slot bear now, majority-confirmed',
  )
  .action((options: object) => runCommand(async () => marginCommand(optionsOf(options))));

cli
  .command(
    'config <verb> [...files]',
    'get; check FILE; put FILE; patch FILE (a change merged into the current file); from-manifests FILE...',
  )
  .option('--base <version>', 'With from-manifests: the version the file builds on')
  .option('--rebase', 'With put: name the current version as the base')
  .action((verb: string, files: readonly string[], options: object) =>
    runCommand(async () => configCommand(optionsOf(options), verb, files)),
  );

cli
  .command('server <verb> <id> [pool] [url]', 'add ID POOL URL; draining ID; remove ID')
  .action(
    (
      verb: string,
      id: string,
      pool: string | undefined,
      url: string | undefined,
      options: object,
    ) => runCommand(async () => serverCommand(optionsOf(options), verb, { id, pool, url })),
  );

cli
  .command('drain <node>', "Move a front's slots to the others")
  .option('--cancel', 'Take it back')
  .action((node: string, options: object) =>
    runCommand(async () =>
      markCommand(optionsOf(options), `/v1/fronts/${encodeURIComponent(node)}/drain`),
    ),
  );

cli
  .command('empty-store <node>', "Move a store's replicas to the others")
  .option('--cancel', 'Take it back')
  .action((node: string, options: object) =>
    runCommand(async () =>
      markCommand(optionsOf(options), `/v1/stores/${encodeURIComponent(node)}/empty`),
    ),
  );

cli
  .command('control <verb> <node>', 'add NODE to the voting controls; remove NODE from them')
  .action((verb: string, node: string, options: object) =>
    runCommand(async () => votingControlCommand(optionsOf(options), verb, node)),
  );

cli
  .command(
    'compare <a> <b>',
    'What two nodes take the cluster state for, by their HTTP addresses: only the differences',
  )
  .action((a: string, b: string, options: object) =>
    runCommand(async () => compareCommand(optionsOf(options), a, b)),
  );

cli.help();
cli.version('0.1.0');
try {
  cli.parse(process.argv, { run: false });
  if (!cli.matchedCommand && !cli.options['help'] && !cli.options['version'])
    throw new Error('name a command; see tillerctl --help');
  await cli.runMatchedCommand();
} catch (error) {
  printError(messageOf(error));
  process.exitCode = ExitCode.invalid;
}
