/** The scenarios that `fleet run` knows. */
import { failureScenarios } from './failure-scenarios.js';
import { operationScenarios } from './operation-scenarios.js';
import type { Scenario } from './scenario-actions.js';

/** All scenarios by name, in the order in which they are listed. */
export const scenarios: ReadonlyMap<string, Scenario> = new Map([
  ...failureScenarios,
  ...operationScenarios,
]);
