/**
 * The policies by which placement filters and ranks the servers of a pool, applied one after the other
 * (docs/design.md, "Placement"). A policy keeps no state.
 */
import type { Server } from '@tillerstair/state';

/** Whether a server answers: `doubtful` after few failures, or when an unhealthy one may be tried again. */
export type ServerHealth = 'good' | 'doubtful' | 'bad';

/** What this front has observed of a server. */
export interface ObservedServer {
  /** Requests of this front that are in flight at the server. */
  readonly inFlight: number;
  /** Requests of all fronts that the server runs or queues, by its own account. */
  readonly requests: number;
  /** The server drains, or nobody knows that it does not. */
  readonly draining: boolean;
  readonly health: ServerHealth;
}

/** How the engine of a pool's servers batches requests. */
interface Engine {
  /** Requests that run in one batch. */
  readonly places: number;
  readonly memoryTokens: number;
  readonly blockTokens: number;
}

/** What policies know of the request that is placed, and of the servers. */
export interface PlacementContext {
  /** Tokens of the complete prompt; 0 where it is not known. */
  readonly promptTokens: number;
  observed(server: Server): ObservedServer;
  /** The engine of the server's pool; undefined where it does not batch. */
  engine(server: Server): Engine | undefined;
  /** Whether the server is in this front's own zone, or one of the zones is not known. */
  isNear(server: Server): boolean;
  /** The share of the prompt's tokens, 0 to 1, that the server should have cached. */
  cachedShare(server: Server): number;
  /** The server's tuned weight; 1 is normal. */
  weight(server: Server): number;
}

/** A server that may be picked; the one with the highest score is. */
export interface Candidate {
  readonly server: Server;
  readonly score: number;
}

/** Drops candidates, or changes their scores. */
export type PlacementPolicy = (
  candidates: readonly Candidate[],
  context: PlacementContext,
) => readonly Candidate[];

/** The share of its batch's memory, in tokens for each place, that one more request costs those that run. */
const stepShareOfPlace = 1 / 25;
/** What a request beyond a full batch costs, in steps. */
const queuedCost = 8;
/** What a server in another zone costs, in steps of its batch. */
const remoteBatchCost = 1;
/** What a server in another zone costs where it does not batch, in requests. */
const remoteCost = 0.25;
/** Among servers with as many requests the one with fewer of this front's comes first. */
const inFlightTieBreakCost = 0.1;
const minWeight = 0.05;
const maxWeightBonus = 0.5;
const defaultAffinityGain = 4;
const defaultLoadCost = 1;

const requestsAt = ({ inFlight, requests }: ObservedServer): number => Math.max(inFlight, requests);

/** Drops servers that the operator drains or that drain by themselves. */
const excludeDraining: PlacementPolicy = (candidates, context) =>
  candidates.filter(({ server }) => !server.draining && !context.observed(server).draining);

/** Keeps the healthy servers; where there is none, those that are not known to be unhealthy. */
const preferHealthy: PlacementPolicy = (candidates, context) => {
  const healthy = candidates.filter(
    ({ server }) => context.observed(server).health === 'good' && !server.down,
  );
  if (healthy.length > 0) return healthy;
  return candidates.filter(({ server }) => context.observed(server).health !== 'bad');
};

const batchCostOf = (server: Server, engine: Engine, context: PlacementContext): number => {
  const running = requestsAt(context.observed(server));
  const stepTokens = (engine.memoryTokens / engine.places) * stepShareOfPlace;
  const queued = Math.max(0, running + 1 - engine.places);
  const prefillTokens = context.promptTokens * (1 - context.cachedShare(server));
  return (prefillTokens + running * stepTokens + queued * queuedCost * stepTokens) / stepTokens;
};

/**
 * For servers that batch, where the prompt's size is known: the tokens that the server would have to prefill, against
 * what more there is in its batch.
 */
const batchCost: PlacementPolicy = (candidates, context) =>
  candidates.map((candidate) => {
    const { server, score } = candidate;
    const engine = context.engine(server);
    if (!engine || context.promptTokens === 0) return candidate;
    const remote = context.isNear(server) ? 0 : remoteBatchCost;
    return { server, score: score - batchCostOf(server, engine, context) - remote };
  });

/** For servers that do not batch: `gain` for a prompt of which all is cached. */
const prefixAffinity =
  (gain: number): PlacementPolicy =>
  (candidates, context) =>
    candidates.map((candidate) => {
      const { server, score } = candidate;
      if (context.engine(server)) return candidate;
      return { server, score: score + gain * context.cachedShare(server) };
    });

/** Where `batchCost` does not apply: `cost` for each request at the server, the more the lower its weight. */
const loadCost =
  (cost: number): PlacementPolicy =>
  (candidates, context) =>
    candidates.map((candidate) => {
      const { server, score } = candidate;
      if (context.engine(server) && context.promptTokens > 0) return candidate;
      const observed = context.observed(server);
      const remote = context.isNear(server) ? 0 : remoteCost;
      const requests = requestsAt(observed) + observed.inFlight * inFlightTieBreakCost;
      const weight = Math.max(minWeight, context.weight(server));
      return { server, score: score - remote - (cost * requests) / weight };
    });

/** A server that is slow by its tuned weight loses to an equal one. */
const weightBonus: PlacementPolicy = (candidates, context) =>
  candidates.map(({ server, score }) => ({
    server,
    score: score + Math.min(1, context.weight(server)) * maxWeightBonus,
  }));

/** The product's policies in their order; prefix affinity can be switched off by the settings. */
export const placementPolicies = (withAffinity: boolean): readonly PlacementPolicy[] => [
  excludeDraining,
  preferHealthy,
  ...(withAffinity ? [batchCost, prefixAffinity(defaultAffinityGain)] : []),
  loadCost(defaultLoadCost),
  weightBonus,
];
