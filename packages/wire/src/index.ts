export * from './clock.js';
export * from './errors/index.js';
export * from './transport.js';
export * from './tcp.js';
export * from './task-queue.js';
export * from './log.js';
export * from './http.js';
