#!/usr/bin/env node
/** `tillerctl`: the operators' command line. This module declares the commands; other modules implement them. */
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
  .command('status', "Show the master's cluster state, majority-confirmed")
  .action((options: object) =>
    runCommand(async () =>
      requestAndReport(optionsOf(options), { method: 'GET', path: '/v1/status' }),
    ),
  );

cli
  .command(
    'margin',
    'Show how many more losses the voting controls and each slot tolerate now, majority-confirmed',
  )
  .action((options: object) => runCommand(async () => marginCommand(optionsOf(options))));

cli
  .command(
    'config <verb> [...files]',
    'get; check FILE; put FILE; patch FILE (a change merged into the current file); from-manifests FILE...',
  )
  .option('--base <version>', 'With from-manifests: the version that the file builds on')
  .option('--rebase', 'With put: use the current version as the base')
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
  .command('drain <node>', "Move a front's slots to other fronts")
  .option('--cancel', 'Cancel the drain')
  .action((node: string, options: object) =>
    runCommand(async () =>
      markCommand(optionsOf(options), `/v1/fronts/${encodeURIComponent(node)}/drain`),
    ),
  );

cli
  .command('empty-store <node>', "Move a store's replicas to other stores")
  .option('--cancel', 'Cancel emptying the store')
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
    'Show the differences between the cluster states of two nodes, given by their HTTP addresses',
  )
  .action((a: string, b: string, options: object) =>
    runCommand(async () => compareCommand(optionsOf(options), a, b)),
  );

cli.help();
cli.version('0.1.0');
try {
  cli.parse(process.argv, { run: false });
  if (!cli.matchedCommand && !cli.options['help'] && !cli.options['version'])
    throw new Error('no command given; see tillerctl --help');
  await cli.runMatchedCommand();
} catch (error) {
  printError(messageOf(error));
  process.exitCode = ExitCode.invalid;
}
