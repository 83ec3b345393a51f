/**
 * Health of servers as reported by fronts: whether they reach a server, and its throughput. The master marks a server
 * as down if most fronts that reported recently fail to reach it. Kept in memory by one control; a new master starts
 * without reports.
 */
import type { Server, State } from '@tillerstair/state';
import type { FrontReport } from './messages.js';

interface Observation {
  readonly url: string;
  readonly ok: boolean;
  readonly pace: number | undefined;
  readonly at: number;
}

/** The newest report of each front. */
export class ServerHealth {
  private readonly observationsByFront = new Map<string, ReadonlyMap<string, Observation>>();

  /** Replaces a front's last report. `now` is the clock's time, in ms. */
  record(front: string, seen: FrontReport['seen'], now: number): void {
    this.observationsByFront.set(
      front,
      new Map(seen.map(({ id, url, ok, pace }) => [id, { url, ok, pace, at: now }])),
    );
  }

  /** Discards all reports. */
  clear(): void {
    this.observationsByFront.clear();
  }

  /** Median throughput of each server for which one was reported, by server id. */
  medianThroughputs(state: State): ReadonlyMap<string, number> {
    const medians = new Map<string, number>();
    for (const server of state.servers.values()) {
      const throughputs: number[] = [];
      this.forEachObservation(server, ({ pace }) => {
        if (pace !== undefined) throughputs.push(pace);
      });
      throughputs.sort((first, second) => first - second);
      const median = throughputs.at(Math.floor(throughputs.length / 2));
      if (median !== undefined) medians.set(server.id, median);
    }
    return medians;
  }

  /** Whether each server is down, by id, for servers with a report that is not older than `maxAgeMs`. */
  downMarks(state: State, now: number, maxAgeMs: number): ReadonlyMap<string, boolean> {
    const marks = new Map<string, boolean>();
    for (const server of state.servers.values()) {
      const reports = { reached: 0, unreached: 0 };
      this.forEachObservation(server, ({ ok, at }) => {
        if (now - at > maxAgeMs) return;
        if (ok) reports.reached++;
        else reports.unreached++;
      });
      const { reached, unreached } = reports;
      if (reached + unreached > 0) marks.set(server.id, unreached > reached);
    }
    return marks;
  }

  /** Visits the reports of a server at its current URL; reports of an earlier URL are ignored. */
  private forEachObservation({ id, url }: Server, visit: (observation: Observation) => void): void {
    for (const byServer of this.observationsByFront.values()) {
      const observation = byServer.get(id);
      if (observation?.url === url) visit(observation);
    }
  }
}
