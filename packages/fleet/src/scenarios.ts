/** The scenarios of `fleet run`. */
import { failureScenarios } from './failure-scenarios.js';
import { operationScenarios } from './operation-scenarios.js';
import type { Scenario } from './scenario-actions.js';

/** All scenarios, keyed by name, in the order of `fleet list`. */
export const scenarios: ReadonlyMap<string, Scenario> = new Map([
  ...failureScenarios,
  ...operationScenarios,
]);
