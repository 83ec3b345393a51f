export * from './compare.js';
export * from './patch.js';
export * from './manifests.js';
export * from './ask.js';
