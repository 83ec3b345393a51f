/** Checks what callers were answered against what servers executed; used by the fleet, the simulator and the tests. */
export * from './records.js';
export * from './check.js';
export { operationOf } from './operation-rules.js';
export { type RuleResult, type Tolerances, defaultTolerances } from './rule-result.js';
export { eventsOf, outputOf } from './pass-rules.js';
export * from './config-history.js';
