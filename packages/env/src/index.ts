export * from './env.js';
export * from './daemon.js';
