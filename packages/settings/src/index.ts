export * from './settings.js';
export * from './daemon.js';
