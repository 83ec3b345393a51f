/** Processes of a fleet. */
import { spawn, type ChildProcess } from 'node:child_process';
import { closeSync, mkdirSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { dirname, join } from 'node:path';

const require = createRequire(import.meta.url);

export const programs: ReadonlyMap<string, string> = new Map(
  [
    ['control-node', 'control'],
    ['store-node', 'store'],
    ['front-proxy', 'proxy'],
    ['front-agent', 'agent'],
  ].map(([name = '', pkg = '']) => [
    name,
    join(dirname(require.resolve(`@tillerstair/${pkg}`)), 'main.js'),
  ]),
);

/** Hears that a process ended: its name, the signal that ended it, and how long it had run, in ms. */
export type ProcessExitListener = (
  name: string,
  signal: NodeJS.Signals | null,
  ranMs: number,
) => void;

/** One process of a fleet: started, killed, frozen and woken. */
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

  start(): void {
    if (this.running) return;
    mkdirSync(this.dir, { recursive: true });
    const settings = join(this.dir, 'settings.json');
    writeFileSync(settings, JSON.stringify(this.settings, null, 1));
    const log = openSync(join(this.dir, 'log'), 'a');
    const main = programs.get(this.program);
    if (main === undefined) throw new Error(`no program ${this.program}`);
    this.child = spawn(
      process.execPath,
      ['--max-semi-space-size=8', main, '--settings', settings],
      { stdio: ['ignore', log, log] },
    );
    const startedAt = Date.now();
    this.child.once('exit', (_code, signal) => {
      this.onExit(this.name, signal, Date.now() - startedAt);
    });
    closeSync(log);
    this.frozen = false;
  }

  /** Sends a signal, if it runs. */
  signal(name: NodeJS.Signals): void {
    if (this.running) this.child?.kill(name);
  }

  freeze(): void {
    this.frozen = true;
    this.signal('SIGSTOP');
  }

  resume(): void {
    this.frozen = false;
    this.signal('SIGCONT');
  }

  /** Ends it by a signal, and by SIGKILL after `within` ms; resolves with whether that was needed. */
  async end(name: NodeJS.Signals = 'SIGKILL', within = 8000): Promise<boolean> {
    const child = this.child;
    if (!child || !this.running) return false;
    const over = new Promise<void>((done) => child.once('exit', () => done()));
    child.kill(name);
    if (this.frozen) child.kill('SIGCONT');
    let overdue = false;
    const hard = setTimeout(() => {
      overdue = true;
      child.kill('SIGKILL');
    }, within);
    await over;
    clearTimeout(hard);
    return overdue;
  }

  wipe(): void {
    rmSync(join(this.dir, 'data'), { recursive: true, force: true });
  }
}
