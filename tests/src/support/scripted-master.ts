/** A master whose publishes and confirmations succeed immediately or fail as scripted, with a record of the calls. */
import type { State } from '@tillerstair/state';
import type { MasterView } from '@tillerstair/zen';

export interface MasterScript {
  /** Error of a publish, thrown after the change was applied. */
  readonly publishError?: Error;
  /** Error of a confirmation by a majority. */
  readonly confirmError?: Error;
  readonly syncedNodes?: readonly string[];
  readonly responsiveNodes?: readonly string[];
  readonly repliedNodes?: readonly string[];
  readonly unresponsiveFor?: (id: string) => number;
}

/** Applies every change without publishing it, and records the calls. */
export class ScriptedMaster implements MasterView {
  readonly term = 2;
  readonly committedAt = 0;
  readonly calls: string[] = [];
  readonly steppedDown = new AbortController();

  constructor(
    public state: State,
    private readonly script: MasterScript = {},
  ) {}

  get lost(): AbortSignal {
    return this.steppedDown.signal;
  }

  get committed(): State {
    return this.state;
  }

  readonly submit: MasterView['submit'] = (change) => this.apply('submit', change);
  readonly submitConfirmed: MasterView['submitConfirmed'] = (change) =>
    this.apply('submitConfirmed', change);

  async confirm(): Promise<State> {
    this.calls.push('confirm');
    if (this.script.confirmError) return Promise.reject(this.script.confirmError);
    return Promise.resolve(this.state);
  }

  async waitUntilInForce(): Promise<void> {
    this.calls.push('waitUntilInForce');
    return Promise.resolve();
  }

  unresponsiveFor(id: string): number {
    return this.script.unresponsiveFor?.(id) ?? 0;
  }

  isResponsive(id: string): boolean {
    return this.script.responsiveNodes?.includes(id) ?? true;
  }

  async pingPeers(): Promise<ReadonlySet<string>> {
    this.calls.push('pingPeers');
    return Promise.resolve(new Set(this.script.repliedNodes ?? this.state.nodes.keys()));
  }

  holdsCommitted(id: string): boolean {
    return this.script.syncedNodes?.includes(id) ?? true;
  }

  private async apply(name: string, change: (state: State) => State) {
    this.calls.push(name);
    await Promise.resolve();
    this.state = change(this.state);
    if (this.script.publishError) throw this.script.publishError;
    return { state: this.state, at: 0 };
  }
}
