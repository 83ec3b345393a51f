/** Append-only logs on disk whose records are acknowledged once synced, in a data folder locked by one process. */
export * from './digest.js';
export * from './disk.js';
export * from './errors.js';
export * from './folder-disk.js';
export * from './frames.js';
export * from './journal.js';
export * from './log-rewrite.js';
export * from './log-scanner.js';
export * from './timings.js';
