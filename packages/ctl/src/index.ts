/** The parts of the operators' command line that tests use without starting it. */
export * from './compare-views.js';
export * from './patch-config.js';
export * from './manifests.js';
export * from './margin.js';
