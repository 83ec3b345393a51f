/**
 * Discovery, election, publishing and fault detection between the nodes of a cluster (docs/zen.md). Exports that only
 * tests use are last.
 */
export * from './bounds.js';
export * from './messages.js';
export * from './election-store.js';
export * from './disk-election-store.js';
export * from './memory-election-store.js';
export * from './zen-node.js';
export * from './zen-node-options.js';
export type { MasterView } from './master-types.js';
export * from './journal-timings.js';
export * from './quorum-read.js';

export * from './addressee.js';
export * from './bootstrap-closure.js';
export * from './bootstrapper.js';
export * from './elect.js';
export * from './gather-votes.js';
export * from './join-master.js';
export * from './known-members.js';
export * from './leave.js';
export * from './master.js';
export * from './master-errors.js';
export * from './ping-round.js';
export * from './publish-receiver.js';
export * from './read-lease.js';
export * from './stepped-down.js';
export * from './vote.js';
