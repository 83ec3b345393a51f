#!/usr/bin/env node
/** Starts one stand-in model server as a process of its own. */
import cac from 'cac';
import { ExecutionLog } from './execution-log.js';
import { ModelServer } from './model-server.js';

const cli = cac('stand-in-model');
cli.option('--addr <addr>', 'IP:PORT to serve at');
cli.option('--id <id>', 'Name in the ledger', { default: 'model' });
cli.option('--pool <pool>', 'Pool in the ledger', { default: 'models' });
cli.option('--msPerToken <ms>', 'Decode pace', { default: 5 });
cli.option('--prefillMsPerKb <ms>', 'Prefill pace', { default: 20 });
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
    slots: 8,
    cacheKb: 4096,
    msPerToken: Number(options['msPerToken']),
    prefillMsPerKb: Number(options['prefillMsPerKb']),
  };
  await new ModelServer(
    serverOptions,
    new ExecutionLog(typeof file === 'string' ? file : undefined),
  ).start();
} else if (!options['help']) {
  process.stderr.write('stand-in-model: --addr: must be given\n');
  process.exit(2);
}
