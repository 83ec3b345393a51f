/** Runs the actions of a model run on simulated controls, and checks what the nodes report after every event. */
import type { Machine } from './machine.js';
import { atMaster, type ModelAction, type ModelRun } from './model-actions.js';
import { modelBounds, ModelDisturbances } from './model-disturbances.js';
import { ModelHistory, type SentConfig } from './model-history.js';
import { ModelNodes } from './model-nodes.js';
import { ModelOperators } from './model-operators.js';
import { seededRng } from './random.js';
import { World } from './world.js';

const maxControls = 7;
/** Time in ms within which reads and changes must succeed after all faults have ended. */
const recoveryTimeoutMs = 60000;
const pollMs = 20;
/** Simulated time that passes after each action, in ms. */
const actionMs = 2;
/** Probability that a client retries at a poll. */
const retryShare = 0.1;

/** One handler for each kind of action. */
type ActionHandlers = {
  readonly [Kind in ModelAction['kind']]: (
    action: Extract<ModelAction, { readonly kind: Kind }>,
  ) => void;
};

/** One run: the simulated world, the history that answers are checked against, and the actions so far. */
export class ModelSimulation {
  readonly history = new ModelHistory();
  readonly actions: ModelAction[] = [];
  private readonly nodes = new ModelNodes(this.history);
  private readonly operators = new ModelOperators(this.history);
  private readonly disturbances: ModelDisturbances;
  private readonly world: World;
  private readonly rng: () => number;

  constructor(
    readonly seed: number,
    readonly controls: number,
  ) {
    this.rng = seededRng(seed * 31 + 7);
    this.world = new World(seed, { controls, stores: 0, fronts: 0, configuredBounds: modelBounds });
    this.world.skewClocks = true;
    this.world.net.onAnswer = (answer) => this.nodes.answered(answer);
    this.disturbances = new ModelDisturbances(this.world, this.nodes, this.history, this.rng);
  }

  /** The run so far, for a replay. */
  get run(): ModelRun {
    return { seed: this.seed, controls: this.controls, actions: this.actions };
  }

  /** Sets the callback that gets the log lines of all nodes. */
  set trace(onLine: (line: string) => void) {
    this.world.trace = onLine;
  }

  /** Starts the controls and waits for the first master. */
  async begin(): Promise<void> {
    this.world.start();
    await this.advanceUntil('the first master', () => this.world.master !== undefined);
  }

  /** Whether an action is possible now and stays within the losses that the cluster must withstand. */
  allows(action: ModelAction): boolean {
    if (action.kind === 'wipe') return this.disturbances.mayLoseDisk(this.at(action.at));
    if (action.kind === 'replace')
      return this.world.machines.length > 2 && this.disturbances.mayLoseDisk(this.at(action.at));
    if (action.kind === 'add') return this.world.machines.length < maxControls;
    return action.kind !== 'resend' || this.operators.hasSent;
  }

  /** Performs one action and advances the time a little. */
  async act(action: ModelAction): Promise<void> {
    this.actions.push(action);
    this.apply(action);
    await this.advance(action.kind === 'wait' ? action.ms : actionMs);
  }

  /** Ends all faults, and checks with a last read and a last change that everything acknowledged is still there. */
  async finish(): Promise<void> {
    this.disturbances.heal();
    await this.readAndWrite();
  }

  private at(index: number): Machine {
    const { machines, master } = this.world;
    if (index === atMaster && master) return master;
    const machine = machines.at(Math.max(0, index) % machines.length);
    if (!machine) throw new Error(`there is no machine for index ${index}`);
    return machine;
  }

  private observe(): void {
    for (const machine of this.world.machines) {
      const { control } = machine;
      if (!control) continue;
      const committed = control.zen.leading?.committed;
      if (committed) this.history.committed(machine.addr, committed);
      if (control.zen.applied) this.history.committed(machine.addr, control.zen.applied);
      this.nodes.observe(machine, this.world.clock.now());
    }
    this.operators.checkAnswers();
  }

  private async advance(ms: number): Promise<void> {
    const { clock } = this.world;
    const end = clock.now() + ms;
    await clock.runReadyTasks();
    this.observe();
    while (await clock.step(end)) this.observe();
    await clock.run(end - clock.now());
  }

  private async advanceUntil(what: string, ready: () => boolean): Promise<boolean> {
    const { clock } = this.world;
    const end = clock.now() + recoveryTimeoutMs;
    while (!ready()) {
      if (clock.now() >= end) {
        this.history.addFinding(
          'serves again once healed',
          `${what}: not within ${recoveryTimeoutMs} ms`,
        );
        return false;
      }
      await this.advance(pollMs);
    }
    return true;
  }

  private readonly handlers: ActionHandlers = {
    network: (action) => {
      this.disturbances.network = action;
    },
    cut: ({ at, direction, ms }) => this.disturbances.cut([this.at(at)], direction, ms),
    split: ({ members, ms }) => {
      const group = this.world.machines.filter((_, i) => ((members >> i) & 1) === 1);
      this.disturbances.cut(group, 'both', ms);
    },
    freeze: ({ at, ms }) => this.disturbances.freeze(this.at(at), ms),
    kill: ({ at, power, ms }) =>
      this.disturbances.kill(this.at(at), power ? 'power' : 'process', ms),
    'power-all': ({ ms }) => {
      for (const machine of this.world.machines) this.disturbances.kill(machine, 'power', ms);
    },
    wipe: ({ at, ms }) => this.disturbances.wipe(this.at(at), ms),
    replace: ({ at, planned }) => {
      if (planned) this.disturbances.replacePlanned(this.at(at));
      else this.disturbances.replace(this.at(at));
    },
    add: () => this.world.add('control').start(),
    'slow-disk': ({ at, kind, ms }) => this.disturbances.disturbDisk(this.at(at), kind, ms),
    'full-disk': ({ at, kind, ms }) => this.disturbances.disturbDisk(this.at(at), kind, ms),
    'stalled-disk': ({ at, kind, ms }) => this.disturbances.disturbDisk(this.at(at), kind, ms),
    put: ({ at, stale }) => this.put(at, stale),
    race: ({ at, other }) => {
      this.operators.put(this.at(at), this.newConfig());
      this.operators.put(this.at(other), this.newConfig());
    },
    resend: ({ at, which }) => {
      const config = this.operators.sentBefore(which);
      if (config) this.operators.put(this.at(at), config);
    },
    read: ({ at }) => this.operators.read(this.at(at)),
    'read-all': () => {
      for (const machine of this.world.machines) this.operators.read(machine);
    },
    wait: () => undefined,
    heal: () => this.disturbances.heal(),
  };

  // eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters -- binds the action to its kind
  private apply<Kind extends ModelAction['kind']>(
    action: Extract<ModelAction, { readonly kind: Kind }>,
  ): void {
    this.handlers[action.kind](action);
  }

  private newConfig(): SentConfig {
    return this.operators.configOn(this.history.committedVersion);
  }

  private put(at: number, stale: boolean): void {
    const machine = this.at(at);
    const { committedVersion } = this.history;
    const base = stale ? Math.max(0, committedVersion - 1) : committedVersion;
    this.operators.put(machine, this.operators.configOn(base));
  }

  private anyMachine(): Machine {
    return this.at(Math.floor(this.rng() * this.world.machines.length));
  }

  private async readAndWrite(): Promise<void> {
    let read = -1;
    const hasRead = await this.advanceUntil('the last read', () => {
      if (read < 0 && this.rng() < retryShare)
        this.operators.read(this.anyMachine(), (version) => (read = version));
      return read >= 0 || (this.history.newest !== undefined && !this.history.newest.config);
    });
    if (!hasRead) return;
    const last = this.newConfig();
    await this.advanceUntil('the last change', () => {
      if (this.rng() < retryShare) this.operators.put(this.anyMachine(), last);
      return this.history.committedVersion >= last.version;
    });
    this.operators.read(this.anyMachine());
    await this.advance(modelBounds.failureTimeout);
  }
}
