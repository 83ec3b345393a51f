#!/usr/bin/env node
/** Command line that runs one stand-in service in this process. */
import cac from 'cac';
import { ExecutionLog } from './execution-log.js';
import { ServiceServer } from './service-server.js';

const cli = cac('stand-in-service');
cli.option('--addr <addr>', 'IP:PORT to listen on');
cli.option('--id <id>', 'Server name in the execution log', { default: 'service' });
cli.option('--pool <pool>', 'Pool name in the execution log', { default: 'services' });
cli.option('--ledger <file>', 'File to append the execution log to');
cli.help();
const { options } = cli.parse();
const addr: unknown = options['addr'];
if (typeof addr === 'string') {
  const file: unknown = options['ledger'];
  const serverOptions = {
    id: String(options['id']),
    pool: String(options['pool']),
    addr,
    leastMs: 10,
    mostMs: 40,
  };
  await new ServiceServer(
    serverOptions,
    new ExecutionLog(typeof file === 'string' ? file : undefined),
  ).start();
} else if (!options['help']) {
  process.stderr.write('stand-in-service: missing required option --addr\n');
  process.exit(2);
}
