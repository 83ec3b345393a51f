/** Polls all listed servers for their load and their draining state. */
import type { Server } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import type { Backend } from './backend.js';
import type { ObservationBounds, ServerObservations } from './server-observations.js';
import type { CompiledState } from './compiled-state.js';

/** Dependencies of a `ServerPoller`. */
export interface ServerPollerOptions {
  readonly clock: Clock;
  readonly backend: Backend;
  readonly bounds: ObservationBounds;
  /** The newest state and configuration; undefined before the first publish. */
  readonly compiledState: () => CompiledState | undefined;
  readonly observations: ServerObservations;
}

/** Polls the listed servers and records their responses as observations. */
export class ServerPoller {
  private readonly clock: Clock;
  private readonly backend: Backend;
  private readonly bounds: ObservationBounds;
  private readonly compiledState: () => CompiledState | undefined;
  private readonly observations: ServerObservations;

  constructor(options: ServerPollerOptions) {
    this.clock = options.clock;
    this.backend = options.backend;
    this.bounds = options.bounds;
    this.compiledState = options.compiledState;
    this.observations = options.observations;
  }

  /**
   * Polls every listed server, or only those that have never responded. Resolves once each has responded or failed;
   * never rejects.
   */
  async poll(onlyNew: boolean): Promise<void> {
    const state = this.compiledState()?.state;
    if (!state) return;
    this.observations.retain(state.servers);
    if (this.bounds.pollIntervalMs <= 0) return;
    await Promise.all(
      [...state.servers.values()].map(async (server) => {
        if (onlyNew && this.observations.wasPolled(server)) return;
        await this.pollServer(server);
      }),
    );
  }

  private async pollServer(server: Server): Promise<void> {
    const polledAt = this.clock.now();
    try {
      const status = await this.backend.load(server, this.bounds.pollTimeoutMs);
      this.observations.recordPoll(server, status, polledAt);
    } catch {
      this.observations.recordPollFailure(server);
    }
  }
}
