/** The session owner: runs the requests of the slots that the cluster state assigns to a front. */
export * from './admission-queue.js';
export * from './backend.js';
export * from './calls.js';
export * from './compiled-state.js';
export * from './event-splitter.js';
export * from './messages.js';
export * from './outcomes.js';
export * from './placement.js';
export * from './policies.js';
export * from './prefix-blocks.js';
export * from './server-observations.js';
export * from './session-owner.js';
export * from './slot-replicator.js';
export * from './stored-values.js';
export * from './stream-records.js';
export * from './turn-records.js';
