/** The typed errors of requests between processes; see `docs/errors.md`. */
export * from './admission-error.js';
export * from './decode.js';
export * from './election-error.js';
export * from './feed-error.js';
export * from './operation-error.js';
export * from './ownership-error.js';
export * from './protocol-error.js';
export * from './replica-error.js';
export * from './rpc-error.js';
export * from './transport-error.js';
export * from './unavailable-error.js';
