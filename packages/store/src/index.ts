export * from './open.js';
export * from './shelf.js';
export * from './node.js';
export * from './start.js';
