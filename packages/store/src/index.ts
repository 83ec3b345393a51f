export * from './shelf.js';
export * from './node.js';
