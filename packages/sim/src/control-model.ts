/**
 * The model test of the controls: random runs of requests and troubles over the real election, publish,
 * membership and log code, each statement checked after every event, failing runs cut down to their least.
 */
import fc from 'fast-check';
import { anyAction, type ModelAction, type ModelRun } from './model-actions.js';
import type { ModelFinding, ModelRule } from './model-history.js';
import { ModelSimulation } from './model-simulation.js';

/** A run that broke a rule, cut down as far as it goes. */
interface FailedRun {
  readonly run: ModelRun;
  readonly findings: readonly ModelFinding[];
}

/** How many runs to make, from which seed. */
export interface ModelCheckOptions {
  readonly seed: number;
  readonly runs: number;
  /** The longest run, in actions. */
  readonly longest: number;
  /** Rules left out of account, to look past a fault that is known. */
  readonly except?: readonly ModelRule[];
}

/** What came of a series of runs: how many, how many statements were checked, and the first that broke a rule. */
export interface ModelResult {
  readonly runs: number;
  readonly checked: number;
  readonly failed: FailedRun | undefined;
}

class RuleBrokenError extends Error {}

const findingsOf = (rig: ModelSimulation, except: readonly ModelRule[]): readonly ModelFinding[] =>
  rig.history.findings.filter((f) => !except.includes(f.rule));

const mustBeSound = (rig: ModelSimulation, except: readonly ModelRule[]): void => {
  const first = findingsOf(rig, except).at(0);
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

  async run(_model: ModelSimulation, rig: ModelSimulation): Promise<void> {
    await rig.act(this.action);
    mustBeSound(rig, this.except);
  }

  toString(): string {
    return JSON.stringify(this.action);
  }
}

/** Plays one run as it stands and returns what it broke. */
export const replayModel = async (
  { seed, controls, actions }: ModelRun,
  trace?: (line: string) => void,
): Promise<readonly ModelFinding[]> => {
  const rig = new ModelSimulation(seed, controls);
  if (trace) rig.trace = trace;
  await rig.begin();
  for (const a of actions) if (rig.allows(a)) await rig.act(a);
  await rig.finish();
  return rig.history.findings;
};

/** Makes seeded runs until one breaks a rule; the same seed makes the same runs. */
export const checkControlModel = async ({
  seed,
  runs,
  longest,
  except = [],
}: ModelCheckOptions): Promise<ModelResult> => {
  let failed: FailedRun | undefined;
  let checked = 0;
  const commands = fc.commands(
    anyAction.map((each) => each.map((a) => new ActionCommand(a, except))),
    { maxCommands: longest, size: 'max' },
  );
  const property = fc.asyncProperty(
    fc.nat(1 << 20),
    fc.constantFrom(3, 3, 3, 5),
    commands,
    async (worldSeed, controls, list) => {
      const rig = new ModelSimulation(worldSeed, controls);
      try {
        await rig.begin();
        mustBeSound(rig, except);
        await fc.asyncModelRun(() => ({ model: rig, real: rig }), list);
        await rig.finish();
        mustBeSound(rig, except);
      } catch (e) {
        failed = { run: rig.run, findings: findingsOf(rig, except) };
        throw e;
      } finally {
        checked += rig.history.checked;
      }
    },
  );
  const details = await fc.check(property, { seed, numRuns: runs });
  if (details.failed && !failed)
    throw new Error(`the model test itself failed: ${String(details.errorInstance)}`);
  return { runs: details.numRuns, checked, failed };
};
