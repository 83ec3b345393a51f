export * from './open.js';
export * from './replica-store.js';
export * from './node.js';
export * from './start.js';
