export * from './bounds.js';
export * from './messages.js';
export * from './keep.js';
export * from './elect.js';
export * from './node.js';
export type { Committed, MasterView } from './master-types.js';
export * from './receiver.js';
export * from './found.js';
export * from './pace.js';
