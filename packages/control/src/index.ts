export * from './operate.js';
export * from './allocation-controller.js';
export * from './list.js';
export * from './node.js';
export * from './weights.js';
export * from './start.js';
