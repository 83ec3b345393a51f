export * from './agent.js';
export * from './start.js';
export * from './list-watch.js';
