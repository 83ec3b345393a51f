/** Logs on disk: records that are acknowledged once they are synced, in a data folder that one process has locked. */
export * from './digest.js';
export * from './disk.js';
export * from './errors.js';
export * from './folder-disk.js';
export * from './frames.js';
export * from './journal.js';
export * from './log-scanner.js';
export * from './timings.js';
