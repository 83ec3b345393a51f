export * from './sim-clock.js';
export * from './sim-net.js';
export * from './sim-disk.js';
export * from './sim-backend.js';
export * from './world.js';
export * from './machine.js';
export * from './storm.js';
