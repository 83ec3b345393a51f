export * from './compare.js';
export * from './patch.js';
export * from './manifests.js';
export * from './margin.js';
export * from './ask.js';
