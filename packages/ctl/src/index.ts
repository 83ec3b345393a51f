/** Parts of the operators' command line that tests use without running the program. */
export * from './compare-views.js';
export * from './patch-config.js';
export * from './manifests.js';
export * from './margin.js';
