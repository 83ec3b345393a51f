#!/usr/bin/env node
/** Command line that runs one stand-in model server in this process. */
import cac from 'cac';
import { ExecutionLog } from './execution-log.js';
import { ModelServer } from './model-server.js';

const cli = cac('stand-in-model');
cli.option('--addr <addr>', 'IP:PORT to listen on');
cli.option('--id <id>', 'Server name in the execution log', { default: 'model' });
cli.option('--pool <pool>', 'Pool name in the execution log', { default: 'models' });
cli.option('--msPerToken <ms>', 'Decode time per token in ms', { default: 5 });
cli.option('--prefillMsPerKb <ms>', 'Prefill time per uncached KiB of the prompt in ms', {
  default: 20,
});
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
  process.stderr.write('stand-in-model: missing required option --addr\n');
  process.exit(2);
}
