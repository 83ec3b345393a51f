/**
 * What this front has observed of each server: requests in flight, load and draining as polled or reported with a
 * response, failures and speed. What was observed at one address counts for no other.
 */
import type { Server } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import type { ReportedLoad, ServerStatus } from './backend.js';
import type { ObservedServer, ServerHealth } from './policies.js';

/** From so many failures on, with no success between them, a server is unhealthy. */
const unhealthyFailures = 3;
/** The weight of the newest speed in the moving average. */
const speedSmoothing = 0.2;

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

/** How long observations count, in ms. */
export interface ObservationBounds {
  /** Servers are polled so often; 0 where none is, and then none needs to have responded. */
  readonly pollIntervalMs: number;
  /** A poll is given up after so many ms. */
  readonly pollTimeoutMs: number;
  /** An unhealthy server may be tried again so long after its last failure. */
  readonly retryUnhealthyAfterMs: number;
  /** A server that did not respond to a poll for so long gets nothing new. */
  readonly pollValidForMs: number;
  /** The load that a server reported with a response counts for so long. */
  readonly reportedLoadValidForMs: number;
}

/** What a front reports of a server to the master; a record of the inner wire. `pace` is in tokens a second. */
export interface ServerReport {
  readonly id: string;
  readonly url: string;
  readonly ok: boolean;
  readonly pace?: number;
}

/** The observations by server id. */
export class ServerObservations {
  private readonly observations = new Map<string, Observation>();
  /** Servers that get nothing new, since the front's own copy of the server list does not offer them. */
  barred: ReadonlySet<string> = new Set();

  constructor(
    private readonly clock: Clock,
    private readonly bounds: ObservationBounds,
  ) {}

  /** What policies see of a server now. */
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

  /** Failures of a server since its last success. */
  failuresOf(id: string): number {
    return this.observations.get(id)?.failures ?? 0;
  }

  /** Whether a server was polled with success at its present address. */
  wasPolled(server: Server): boolean {
    return this.observationOf(server).polledAt > -Infinity;
  }

  /** Whether the server was listed a moment ago, so that its first response to a poll is still to come. */
  awaitsFirstPoll(server: Server): boolean {
    const { polledAt, failures } = this.observationOf(server);
    return (
      this.bounds.pollIntervalMs > 0 &&
      polledAt === -Infinity &&
      failures === 0 &&
      !this.barred.has(server.id)
    );
  }

  /** A request is sent to the server. */
  recordStart(server: Server): void {
    this.update(server, { inFlight: this.observationOf(server).inFlight + 1 });
  }

  /** A request has ended well, at some speed if that is known. */
  recordSuccess(server: Server, tokensPerSecond: number | undefined): void {
    const previous = this.observationOf(server);
    this.update(server, {
      inFlight: Math.max(0, previous.inFlight - 1),
      failures: 0,
      tokensPerSecond: this.averageSpeed(previous.tokensPerSecond, tokensPerSecond),
    });
  }

  /** A request has failed. */
  recordFailure(server: Server): void {
    const { inFlight, failures } = this.observationOf(server);
    this.update(server, {
      inFlight: Math.max(0, inFlight - 1),
      failures: failures + 1,
      lastFailureAt: this.clock.now(),
    });
  }

  /** The server responded to a poll that was sent at `polledAt`. */
  recordPoll(server: Server, status: ServerStatus, polledAt: number): void {
    this.update(server, {
      polledRequests: status.busy,
      draining: status.draining,
      failures: 0,
      polledAt,
    });
  }

  /** The server did not respond to a poll. */
  recordPollFailure(server: Server): void {
    this.update(server, {
      failures: this.observationOf(server).failures + 1,
      lastFailureAt: this.clock.now(),
    });
  }

  /** The server reported its load with a response. */
  recordReportedLoad(server: Server, reportedLoad: ReportedLoad): void {
    this.update(server, { reportedLoad, reportedAt: this.clock.now() });
  }

  /** Forgets the servers that are not listed any more. */
  retain(listed: ReadonlyMap<string, Server>): void {
    for (const id of [...this.observations.keys()])
      if (!listed.has(id)) this.observations.delete(id);
  }

  /** What this front reports of a server. */
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

  /** A server that drains tells so when it is polled: without a fresh response nobody knows that it does not. */
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
