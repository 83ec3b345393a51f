/** The control program: the node, the operators' interface, allocation, polling of the server list, weight tuning. */
export * from './messages.js';
export * from './operations/operations.js';
export * from './allocation-controller.js';
export * from './list-poll.js';
export * from './list-reader.js';
export * from './node.js';
export * from './weight-tuning.js';
export * from './start.js';
