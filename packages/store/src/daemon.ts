/** The command line of the program `store-node`. */
import { runDaemon, StoreSettings } from '@tillerstair/settings';
import { startStore } from './start.js';

void runDaemon({
  name: 'store-node',
  description: "Keeps replicas of programs' history, budgets and operation keys.",
  schema: StoreSettings,
  flags: [
    ['addr', 'Own address, IP:PORT'],
    ['listen', 'Address to bind, if not the same'],
    ['http', 'Address of /live and /ready'],
    ['zone', 'Zone of this machine'],
    ['name', 'Name operators may use for this node'],
    ['seeds', 'Three addresses, comma-separated'],
    ['data', 'Data folder'],
    ['log', 'debug, info, warn or error'],
  ],
  start: (settings) => startStore(settings),
});
