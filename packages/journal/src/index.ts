export * from './disk.js';
export * from './frames.js';
export * from './pace.js';
export * from './journal.js';
