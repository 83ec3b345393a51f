export * from './clock.js';
export * from './errors.js';
export * from './transport.js';
export * from './tcp.js';
export * from './task-queue.js';
export * from './log.js';
export * from './http.js';
