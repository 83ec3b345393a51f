export * from './records.js';
export * from './rules.js';
