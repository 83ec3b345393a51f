export * from './state.js';
export * from './flat.js';
export * from './reduce.js';
export * from './allot.js';
export * from './config.js';
export * from './compiled.js';
export * from './belief.js';
export * from './item.js';
