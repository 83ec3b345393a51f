export * from './backend.js';
export * from './front.js';
export * from './pages.js';
export * from './dialect.js';
export * from './passing.js';
export * from './start.js';
