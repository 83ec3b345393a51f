/**
 * The simulator: the real node code on simulated clocks, networks and disks. It serves storms of faults, the model test
 * of the controls, and other tests; no daemon uses it.
 */
export * from './sim-clock.js';
export * from './incarnation.js';
export * from './sim-net.js';
export * from './sim-drive.js';
export * from './server-faults.js';
export * from './sim-servers.js';
export * from './sim-server-list.js';
export * from './sim-pass.js';
export * from './random.js';
export * from './sim-cluster.js';
export * from './world.js';
export * from './pass.js';
export * from './machine.js';
export * from './storm.js';
export * from './storm-config.js';
export * from './storm-fault.js';
export * from './storm-faults.js';
export * from './storm-plan.js';
export * from './model-actions.js';
export * from './model-history.js';
export * from './model-simulation.js';
export * from './control-model.js';
export * from './config-calls.js';
