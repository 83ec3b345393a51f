/**
 * The cluster state: its schema, its reducers, its encoding and comparison, and the allocation and configuration that
 * are derived from it. Pure functions and schemas; no clock, no disk, no network.
 */
export * from './state.js';
export * from './bootstrap-state.js';
export * from './versions.js';
export * from './quorum.js';
export * from './slots.js';
export * from './accepted-changes.js';
export * from './state-table.js';
export * from './action.js';
export * from './reduce.js';
export { changeIdOf } from './reducers/configuration.js';
export { completeVotingChange } from './reducers/voters.js';
export * from './allocation/allocate.js';
export * from './allocation/limits.js';
export * from './config/check.js';
export * from './config/compiled.js';
export * from './config/findings.js';
export * from './config/routes.js';
export type { Config, Route } from './config/schema.js';
export * from './node-view.js';
export * from './item.js';
export * from './item-size.js';
export * from './messages.js';
export * from './pages.js';
export * from './replica-listing.js';
export * from './server-list.js';
export * from './replication.js';
export * from './margin.js';
