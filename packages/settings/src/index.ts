/** Settings of all programs, their command line, and the life of a program as a process. */
export * from './daemon.js';
export * from './errors.js';
export * from './operator-pages.js';
export * from './program.js';
export * from './schemas.js';
export * from './settings.js';
