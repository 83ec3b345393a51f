/** Test doubles of model servers, services and callers, with fault injection and a log of what they did. */
export * from './faulty-server.js';
export * from './model-server.js';
export * from './service-server.js';
export * from './execution-log.js';
export * from './key-table.js';
export * from './caller-record.js';
export * from './caller.js';
export * from './persistent-connection.js';
export * from './pass-server.js';
