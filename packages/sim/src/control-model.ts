/**
 * The model test of the controls: random runs of requests and faults over the real election, publish, membership and
 * log code. What nodes and clients report is checked after every event, and failing runs are shrunk.
 */
import fc from 'fast-check';
import { anyAction, type ModelAction, type ModelRun } from './model-actions.js';
import type { ModelFinding, ModelRule } from './model-history.js';
import { ModelSimulation } from './model-simulation.js';

/** A run that broke a rule, shrunk as far as possible, and the findings. */
interface FailedRun {
  readonly run: ModelRun;
  readonly findings: readonly ModelFinding[];
}

/** Options of a series of runs. */
export interface ModelCheckOptions {
  readonly seed: number;
  readonly runs: number;
  /** Limit of the length of a run, in actions. */
  readonly longest: number;
  /** Rules to ignore, to find other faults than a known one. */
  readonly except?: readonly ModelRule[];
}

/** The result of a series of runs: the number of runs and of checks, and the first run that broke a rule. */
export interface ModelResult {
  readonly runs: number;
  readonly checked: number;
  readonly failed: FailedRun | undefined;
}

class RuleBrokenError extends Error {}

const relevantFindings = (
  simulation: ModelSimulation,
  except: readonly ModelRule[],
): readonly ModelFinding[] =>
  simulation.history.findings.filter((finding) => !except.includes(finding.rule));

const assertRulesHold = (simulation: ModelSimulation, except: readonly ModelRule[]): void => {
  const first = relevantFindings(simulation, except).at(0);
  if (first) throw new RuleBrokenError(`${first.rule}: ${first.text}`);
};

class ActionCommand implements fc.AsyncCommand<ModelSimulation, ModelSimulation> {
  constructor(
    private readonly action: ModelAction,
    private readonly except: readonly ModelRule[],
  ) {}

  check(model: Readonly<ModelSimulation>): boolean {
    return model.allows(this.action);
  }

  async run(_model: ModelSimulation, simulation: ModelSimulation): Promise<void> {
    await simulation.act(this.action);
    assertRulesHold(simulation, this.except);
  }

  toString(): string {
    return JSON.stringify(this.action);
  }
}

/** Replays one run without shrinking it, and returns its findings; `trace` gets the log lines of all nodes. */
export const replayModel = async (
  { seed, controls, actions }: ModelRun,
  trace?: (line: string) => void,
): Promise<readonly ModelFinding[]> => {
  const simulation = new ModelSimulation(seed, controls);
  if (trace) simulation.trace = trace;
  await simulation.begin();
  for (const action of actions) if (simulation.allows(action)) await simulation.act(action);
  await simulation.finish();
  return simulation.history.findings;
};

/** Makes seeded runs until one breaks a rule; the same seed gives the same runs. */
export const checkControlModel = async ({
  seed,
  runs,
  longest,
  except = [],
}: ModelCheckOptions): Promise<ModelResult> => {
  let failed: FailedRun | undefined;
  let checked = 0;
  const commands = fc.commands(
    anyAction.map((arbitrary) => arbitrary.map((action) => new ActionCommand(action, except))),
    { maxCommands: longest, size: 'max' },
  );
  const property = fc.asyncProperty(
    fc.nat(1 << 20),
    fc.constantFrom(3, 3, 3, 5),
    commands,
    async (worldSeed, controls, commandList) => {
      const simulation = new ModelSimulation(worldSeed, controls);
      try {
        await simulation.begin();
        assertRulesHold(simulation, except);
        await fc.asyncModelRun(() => ({ model: simulation, real: simulation }), commandList);
        await simulation.finish();
        assertRulesHold(simulation, except);
      } catch (error) {
        failed = { run: simulation.run, findings: relevantFindings(simulation, except) };
        throw error;
      } finally {
        checked += simulation.history.checked;
      }
    },
  );
  const details = await fc.check(property, { seed, numRuns: runs });
  if (details.failed && !failed)
    throw new Error(
      `the model test failed without breaking a rule: ${String(details.errorInstance)}`,
    );
  return { runs: details.numRuns, checked, failed };
};
