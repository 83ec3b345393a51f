/** The front-proxy: serves callers, forwards requests to the owners of their slots, and dispatches them to servers. */
export * from './caller-api.js';
export * from './dialect.js';
export * from './front.js';
export * from './headers.js';
export * from './http-backend.js';
export * from './messages.js';
export * from './pass-answer.js';
export * from './pass-handler.js';
export * from './send-guard.js';
export * from './server-agent.js';
export * from './start.js';
export * from './request-memory.js';
