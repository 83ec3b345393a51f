export * from './backend.js';
export * from './connections.js';
export * from './departure.js';
export * from './front.js';
export * from './pages.js';
export * from './dialect.js';
export * from './passing.js';
export * from './start.js';
