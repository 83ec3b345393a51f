export * from './operate.js';
export * from './keeper.js';
export * from './node.js';
export * from './weights.js';
