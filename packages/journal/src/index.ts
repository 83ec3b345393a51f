export * from './disk.js';
export * from './journal.js';
