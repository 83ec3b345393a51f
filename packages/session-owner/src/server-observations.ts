/**
 * This front's observations of each server: its requests in flight, its load and draining state as polled or reported
 * with a response, its failures and its speed. Observations at one address do not apply to a server at another.
 */
import type { Server } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import type { ReportedLoad, ServerStatus } from './backend.js';
import type { ObservedServer, ServerHealth } from './policies.js';

/** Number of consecutive failures after which a server is unhealthy. */
const unhealthyFailures = 3;
/** Weight of the newest speed in the exponential moving average. */
const speedSmoothing = 0.2;

/** Observations of one server at one address. Times are on the clock, in ms; -Infinity means never. */
interface Observation {
  readonly url: string;
  readonly inFlight: number;
  readonly polledRequests: number;
  readonly reportedLoad: ReportedLoad | undefined;
  readonly reportedAt: number;
  readonly draining: boolean;
  readonly lastFailureAt: number;
  readonly failures: number;
  readonly tokensPerSecond: number | undefined;
  readonly polledAt: number;
}

const noObservation = (url: string): Observation => ({
  url,
  inFlight: 0,
  polledRequests: 0,
  reportedLoad: undefined,
  reportedAt: -Infinity,
  draining: false,
  lastFailureAt: -Infinity,
  failures: 0,
  tokensPerSecond: undefined,
  polledAt: -Infinity,
});

/** Intervals, timeouts and validity periods of observations, in ms. */
export interface ObservationBounds {
  /** Interval between polls of a server's load; 0 disables polling, and servers need not have responded to a poll. */
  readonly pollIntervalMs: number;
  /** Timeout of a poll. */
  readonly pollTimeoutMs: number;
  /** Time after its last failure when an unhealthy server may be tried again. */
  readonly retryUnhealthyAfterMs: number;
  /** Time after its last answered poll when a server gets no new requests. */
  readonly pollValidForMs: number;
  /** Time for which the load that a server reported with a response is used. */
  readonly reportedLoadValidForMs: number;
}

/** A front's report on a server to the master, as it is sent between nodes. `pace` is in tokens per second. */
export interface ServerReport {
  readonly id: string;
  readonly url: string;
  readonly ok: boolean;
  readonly pace?: number;
}

/** Observations of all servers, by server id. */
export class ServerObservations {
  private readonly observations = new Map<string, Observation>();
  /** Ids of servers that get no new requests, as this front's copy of the server list does not offer them. */
  barred: ReadonlySet<string> = new Set();

  constructor(
    private readonly clock: Clock,
    private readonly bounds: ObservationBounds,
  ) {}

  /** The current load and health of a server, as the placement policies use them. */
  observed(server: Server): ObservedServer {
    const observation = this.observationOf(server);
    return {
      inFlight: observation.inFlight,
      requests: Math.max(observation.polledRequests, this.reportedRequests(observation)),
      draining: observation.draining || this.isStale(observation) || this.barred.has(server.id),
      health: this.healthOf(observation),
    };
  }

  /** Requests of this front that are in flight at the server. */
  inFlight(server: Server): number {
    return this.observationOf(server).inFlight;
  }

  /** Number of failures of a server since its last success; 0 for a server that is not known. */
  failuresOf(id: string): number {
    return this.observations.get(id)?.failures ?? 0;
  }

  /** Whether a server has responded to a poll at its current address. */
  wasPolled(server: Server): boolean {
    return this.observationOf(server).polledAt > -Infinity;
  }

  /** Whether the first response to a poll is still pending: the server is polled, not barred, and has not failed. */
  awaitsFirstPoll(server: Server): boolean {
    const { polledAt, failures } = this.observationOf(server);
    return (
      this.bounds.pollIntervalMs > 0 &&
      polledAt === -Infinity &&
      failures === 0 &&
      !this.barred.has(server.id)
    );
  }

  /** Records that a request goes to the server. */
  recordStart(server: Server): void {
    this.update(server, { inFlight: this.observationOf(server).inFlight + 1 });
  }

  /** Records that a request succeeded, with the speed of its generation if it is known. */
  recordSuccess(server: Server, tokensPerSecond: number | undefined): void {
    const previous = this.observationOf(server);
    this.update(server, {
      inFlight: Math.max(0, previous.inFlight - 1),
      failures: 0,
      tokensPerSecond: this.averageSpeed(previous.tokensPerSecond, tokensPerSecond),
    });
  }

  /** Records that a request failed. */
  recordFailure(server: Server): void {
    const { inFlight, failures } = this.observationOf(server);
    this.update(server, {
      inFlight: Math.max(0, inFlight - 1),
      failures: failures + 1,
      lastFailureAt: this.clock.now(),
    });
  }

  /** Records the server's response to a poll that was sent at `polledAt`. */
  recordPoll(server: Server, status: ServerStatus, polledAt: number): void {
    this.update(server, {
      polledRequests: status.busy,
      draining: status.draining,
      failures: 0,
      polledAt,
    });
  }

  /** Records that the server did not respond to a poll. */
  recordPollFailure(server: Server): void {
    this.update(server, {
      failures: this.observationOf(server).failures + 1,
      lastFailureAt: this.clock.now(),
    });
  }

  /** Records the load that the server reported with a response. */
  recordReportedLoad(server: Server, reportedLoad: ReportedLoad): void {
    this.update(server, { reportedLoad, reportedAt: this.clock.now() });
  }

  /** Discards the observations of servers that are no longer listed. */
  retain(listed: ReadonlyMap<string, Server>): void {
    for (const id of [...this.observations.keys()])
      if (!listed.has(id)) this.observations.delete(id);
  }

  /** This front's report on a server. */
  reportOf(server: Server): ServerReport {
    const { failures, tokensPerSecond } = this.observationOf(server);
    return {
      id: server.id,
      url: server.url,
      ok: failures < unhealthyFailures,
      ...(tokensPerSecond === undefined ? {} : { pace: tokensPerSecond }),
    };
  }

  private observationOf(server: Server): Observation {
    const observation = this.observations.get(server.id);
    return observation?.url === server.url ? observation : noObservation(server.url);
  }

  private update(server: Server, change: Partial<Observation>): void {
    this.observations.set(server.id, { ...this.observationOf(server), ...change });
  }

  private healthOf({ failures, lastFailureAt }: Observation): ServerHealth {
    if (failures === 0) return 'good';
    if (failures < unhealthyFailures) return 'doubtful';
    const sinceFailureMs = this.clock.now() - lastFailureAt;
    return sinceFailureMs > this.bounds.retryUnhealthyAfterMs ? 'doubtful' : 'bad';
  }

  /**
   * Whether the last answered poll is too old. A server reports draining in its response to a poll, so without a recent
   * response it must be treated as draining.
   */
  private isStale({ polledAt }: Observation): boolean {
    const { pollIntervalMs, pollValidForMs } = this.bounds;
    return pollIntervalMs > 0 && this.clock.now() - polledAt > pollValidForMs;
  }

  private reportedRequests({ reportedLoad, reportedAt }: Observation): number {
    const isValid = this.clock.now() - reportedAt < this.bounds.reportedLoadValidForMs;
    return reportedLoad && isValid ? reportedLoad.running + reportedLoad.waiting : 0;
  }

  private averageSpeed(
    previous: number | undefined,
    latest: number | undefined,
  ): number | undefined {
    if (latest === undefined || previous === undefined) return latest ?? previous;
    return previous * (1 - speedSmoothing) + latest * speedSmoothing;
  }
}
