/**
 * What fronts report of servers: whether they reach them, and at which pace. The master marks as down what most fronts
 * that reported lately fail to reach. Owned by one control, in memory only: a new master learns it anew.
 */
import type { Server, State } from '@tillerstair/state';
import type { FrontReport } from './messages.js';

interface Sighting {
  readonly url: string;
  readonly ok: boolean;
  readonly pace: number | undefined;
  readonly at: number;
}

/** The newest report of each front. */
export class ServerHealth {
  private readonly sightingsByFront = new Map<string, ReadonlyMap<string, Sighting>>();

  /** Takes over what a front reports, in place of its last report. `now` is the clock's time, in ms. */
  record(front: string, seen: FrontReport['seen'], now: number): void {
    this.sightingsByFront.set(
      front,
      new Map(seen.map(({ id, url, ok, pace }) => [id, { url, ok, pace, at: now }])),
    );
  }

  /** Forgets all reports. */
  clear(): void {
    this.sightingsByFront.clear();
  }

  /** The median pace of each server of which one is known. */
  medianThroughputs(state: State): ReadonlyMap<string, number> {
    const medians = new Map<string, number>();
    for (const server of state.servers.values()) {
      const paces: number[] = [];
      this.forEachSighting(server, ({ pace }) => {
        if (pace !== undefined) paces.push(pace);
      });
      paces.sort((first, second) => first - second);
      const median = paces.at(Math.floor(paces.length / 2));
      if (median !== undefined) medians.set(server.id, median);
    }
    return medians;
  }

  /** Whether each server is down, for those of which there is a report that is not older than `maxAgeMs`. */
  downMarks(state: State, now: number, maxAgeMs: number): ReadonlyMap<string, boolean> {
    const marks = new Map<string, boolean>();
    for (const server of state.servers.values()) {
      const reports = { reached: 0, unreached: 0 };
      this.forEachSighting(server, ({ ok, at }) => {
        if (now - at > maxAgeMs) return;
        if (ok) reports.reached++;
        else reports.unreached++;
      });
      const { reached, unreached } = reports;
      if (reached + unreached > 0) marks.set(server.id, unreached > reached);
    }
    return marks;
  }

  /** Visits what was reported of a server at the URL that it has now; reports of an earlier URL say nothing of it. */
  private forEachSighting({ id, url }: Server, visit: (sighting: Sighting) => void): void {
    for (const byServer of this.sightingsByFront.values()) {
      const sighting = byServer.get(id);
      if (sighting?.url === url) visit(sighting);
    }
  }
}
