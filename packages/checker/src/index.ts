/** Checks what callers were answered against what servers executed; used by the fleet, the simulator and the tests. */
export * from './records.js';
export * from './check.js';
export { defaultTolerances, type RuleResult } from './rule-result.js';
export { outputOf, checkPassRules } from './pass-rules.js';
export * from './config-history.js';
