#!/usr/bin/env node
/** The program `store-node`. SIGHUP ends a process without a handler, so one is set before other modules are loaded. */
process.on('SIGHUP', () => undefined);
void import('./daemon.js');
