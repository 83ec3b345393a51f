export * from './agent.js';
