export * from './bounds.js';
export * from './messages.js';
export * from './keep.js';
export * from './elect.js';
export * from './node.js';
export type { MasterView } from './master-view.js';
export * from './receiver.js';
export * from './found.js';
