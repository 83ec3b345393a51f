export * from './clock.js';
export * from './mishap.js';
export * from './circuits.js';
export * from './tcp.js';
export * from './line.js';
export * from './log.js';
export * from './http.js';
