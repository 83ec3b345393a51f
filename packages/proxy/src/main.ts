#!/usr/bin/env node
/** The program `front-proxy`. SIGHUP ends a process that has no handler, so it gets one before anything else is loaded. */
process.on('SIGHUP', () => undefined);
void import('./daemon.js');
