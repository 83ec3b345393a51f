/** The store: replicas of slots on disk, the requests of slot owners, and the refill and handoff of replicas. */
export * from './open-store-disk.js';
export * from './packed-item.js';
export * from './replica-records.js';
export * from './replica-store.js';
export * from './slot-pull.js';
export * from './start.js';
export * from './store-node.js';
