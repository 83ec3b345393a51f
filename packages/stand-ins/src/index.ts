export * from './faults.js';
export * from './model.js';
export * from './service.js';
export * from './ledger.js';
export * from './caller.js';
