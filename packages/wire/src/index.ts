export * from './address.js';
export * from './clock.js';
export * from './errors/index.js';
export * from './http.js';
export * from './log.js';
export * from './task-queue.js';
export * from './tcp-transport.js';
export * from './transport.js';
