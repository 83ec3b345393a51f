export * from './records.js';
export * from './rules.js';
export * from './results.js';
export * from './pass-rules.js';
export * from './config-history.js';
