/** Model servers, services and callers that stand in for real ones, with faults on demand and true records. */
export * from './faulty-server.js';
export * from './model-server.js';
export * from './service-server.js';
export * from './execution-log.js';
export * from './caller-record.js';
export * from './caller.js';
export * from './persistent-connection.js';
export * from './pass-server.js';
