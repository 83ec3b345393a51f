/** The store: replicas of slots on disk, the requests of their owners, and the filling and moving of replicas. */
export * from './open-store-disk.js';
export * from './replica-records.js';
export * from './replica-store.js';
export * from './start.js';
export * from './store-node.js';
