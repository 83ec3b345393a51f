/** Settings of all programs, their command line, and their life cycle as processes. */
export * from './daemon.js';
export * from './errors.js';
export * from './heap-pressure.js';
export * from './memory-limits.js';
export * from './memory-report.js';
export * from './operator-pages.js';
export * from './program.js';
export * from './schemas.js';
export * from './settings.js';
export { LineWriter, type LineStream } from './standard-error.js';
