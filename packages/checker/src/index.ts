/** Checks the replies that callers received against the executions that servers logged, for fleet, sim and tests. */
export * from './records.js';
export * from './check.js';
export { defaultTolerances, type RuleResult } from './rule-result.js';
export { outputOf, checkPassRules } from './pass-rules.js';
export * from './config-history.js';
