#!/usr/bin/env node
/**
 * The `front-agent` program. A SIGHUP without a handler would end the process, so one is set before any module loads.
 */
process.on('SIGHUP', () => undefined);
void import('./daemon.js');
