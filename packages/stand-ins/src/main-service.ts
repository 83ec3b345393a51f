#!/usr/bin/env node
/** Starts one stand-in service as a process of its own. */
import cac from 'cac';
import { ExecutionLog } from './execution-log.js';
import { ServiceServer } from './service-server.js';

const cli = cac('stand-in-service');
cli.option('--addr <addr>', 'IP:PORT to serve at');
cli.option('--id <id>', 'Name in the ledger', { default: 'service' });
cli.option('--pool <pool>', 'Pool in the ledger', { default: 'services' });
cli.option('--ledger <file>', 'Where to write what really ran');
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
  process.stderr.write('stand-in-service: --addr: must be given\n');
  process.exit(2);
}
