/** Runs a complete fleet on one host, for scenarios, soaks, capacity sweeps and tests. */
export * from './layout.js';
export * from './proc.js';
export * from './fleet.js';
export * from './relay.js';
export * from './operator.js';
export * from './traffic.js';
export * from './configs.js';
export * from './run.js';
export * from './scenarios.js';
export * from './capacity.js';
export * from './capacity-state.js';
export * from './capacity-run.js';
export * from './soak/soak.js';
export * from './soak/soak-plan.js';
export * from './soak/soak-rules.js';
export * from './soak/soak-seeds.js';
