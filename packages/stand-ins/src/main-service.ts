#!/usr/bin/env node
import cac from 'cac';
import { Ledger } from './ledger.js';
import { ServiceServer } from './service.js';

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
  const spec = {
    id: String(options['id']),
    pool: String(options['pool']),
    addr,
    leastMs: 10,
    mostMs: 40,
  };
  await new ServiceServer(spec, new Ledger(typeof file === 'string' ? file : undefined)).start();
} else if (!options['help']) {
  process.stderr.write('stand-in-service: --addr: must be given\n');
  process.exit(2);
}
