/** Starts, signals and ends the operating-system processes of a fleet. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';

const require = createRequire(import.meta.url);

/** The path of each program's main module, keyed by program name. */
export const programs: ReadonlyMap<string, string> = new Map(
  [
    ['control-node', 'control'],
    ['store-node', 'store'],
    ['front-proxy', 'proxy'],
    ['front-agent', 'agent'],
  ].map(([name = '', packageName = '']) => [
    name,
    join(dirname(require.resolve(`@tillerstair/${packageName}`)), 'main.js'),
  ]),
);

/** Called when a process exits, with its name, the signal that ended it (null if none), and its run time in ms. */
export type ProcessExitListener = (
  name: string,
  signal: NodeJS.Signals | null,
  ranMs: number,
) => void;

/** One process of a fleet, which can be started, signalled, frozen, resumed and ended. */
export class FleetProcess {
  private child: ChildProcess | undefined;
  private frozen = false;

  constructor(
    readonly name: string,
    readonly program: string,
    readonly settings: object,
    readonly dir: string,
    private readonly onExit: ProcessExitListener = () => undefined,
  ) {}

  get running(): boolean {
    return (
      this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null
    );
  }

  /** Writes the settings file and starts the program, with its output in `log`; does nothing if the process runs. */
  start(): void {
    if (this.running) return;
    mkdirSync(this.dir, { recursive: true });
    const settingsFile = join(this.dir, 'settings.json');
    writeFileSync(settingsFile, JSON.stringify(this.settings, null, 1));
    const log = openSync(join(this.dir, 'log'), 'a');
    const main = programs.get(this.program);
    if (main === undefined)
      throw new Error(`unknown program ${this.program} of process ${this.name}`);
    this.child = spawn(
      process.execPath,
      ['--max-semi-space-size=8', main, '--settings', settingsFile],
      { stdio: ['ignore', log, log] },
    );
    const startedAt = Date.now();
    this.child.once('exit', (_code, signal) => {
      this.onExit(this.name, signal, Date.now() - startedAt);
    });
    closeSync(log);
    this.frozen = false;
  }

  /** Sends a signal; does nothing if the process does not run. */
  signal(name: NodeJS.Signals): void {
    if (this.running) this.child?.kill(name);
  }

  /** Suspends the process by SIGSTOP. */
  freeze(): void {
    this.frozen = true;
    this.signal('SIGSTOP');
  }

  /** Continues the process by SIGCONT. */
  resume(): void {
    this.frozen = false;
    this.signal('SIGCONT');
  }

  /** Sends a signal that ends the process, and SIGKILL after `within` ms; resolves with whether SIGKILL was needed. */
  async end(name: NodeJS.Signals = 'SIGKILL', within = 8000): Promise<boolean> {
    const child = this.child;
    if (!child || !this.running) return false;
    const exited = new Promise<void>((done) => child.once('exit', () => done()));
    child.kill(name);
    if (this.frozen) child.kill('SIGCONT');
    let overdue = false;
    const killTimer = setTimeout(() => {
      overdue = true;
      child.kill('SIGKILL');
    }, within);
    await exited;
    clearTimeout(killTimer);
    return overdue;
  }

  /** Deletes the data folder of the process. */
  wipe(): void {
    rmSync(join(this.dir, 'data'), { recursive: true, force: true });
  }
}
