#!/usr/bin/env node
/**
 * Entry point of `control-node`. SIGHUP ends a process that has no handler, so one is set before anything else is
 * loaded.
 */
process.on('SIGHUP', () => undefined);
void import('./daemon.js');
