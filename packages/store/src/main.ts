#!/usr/bin/env node
import { runDaemon, StoreEnv } from '@tillerstair/env';
import { startStore } from './start.js';

void runDaemon({
  name: 'store-node',
  about: 'Keeps copies of programs\' history, budgets and operation keys.',
  schema: StoreEnv,
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
  start: (env) => startStore(env),
});
