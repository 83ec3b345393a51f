export * from './layout.js';
export * from './proc.js';
export * from './fleet.js';
export * from './relay.js';
export * from './operator.js';
export * from './traffic.js';
export * from './configs.js';
