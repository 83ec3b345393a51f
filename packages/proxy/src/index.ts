export * from './backend.js';
export * from './front.js';
export * from './pages.js';
