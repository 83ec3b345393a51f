/**
 * The policies by which placement filters and ranks the servers of a pool, applied one after the other
 * (docs/design.md, "Placement"). A policy keeps no state.
 */
import type { Server } from '@tillerstair/state';

/**
 * Health of a server: `bad` after repeated failures; `doubtful` after fewer, or when a bad server may be tried again;
 * otherwise `good`.
 */
export type ServerHealth = 'good' | 'doubtful' | 'bad';

/** The load and health of a server as this front observes them. */
export interface ObservedServer {
  /** Requests of this front that are in flight at the server. */
  readonly inFlight: number;
  /** Requests of all fronts that the server runs or queues, as reported by the server. */
  readonly requests: number;
  /** Whether the server is draining, or must be treated so since its state is not known or it is barred. */
  readonly draining: boolean;
  readonly health: ServerHealth;
}

/** How the engine of a pool's servers batches requests. */
interface Engine {
  /** Maximum number of requests in one batch. */
  readonly places: number;
  /** Memory of a batch, in tokens. */
  readonly memoryTokens: number;
  /** Generated tokens that each event of a streamed response stands for. */
  readonly blockTokens: number;
}

/** The request to be placed, and the facts about servers that policies rank them by. */
export interface PlacementContext {
  /** Tokens of the complete prompt; 0 if the prompt is not known. */
  readonly promptTokens: number;
  /** The load and health of a server. */
  observed(server: Server): ObservedServer;
  /** The engine of the server's pool; undefined if the pool's servers do not batch requests. */
  engine(server: Server): Engine | undefined;
  /** Whether the server is in the zone of this front; also true if either zone is not known. */
  isNear(server: Server): boolean;
  /** The estimated share of the prompt's tokens, 0 to 1, that the server has cached. */
  cachedShare(server: Server): number;
  /** The server's weight, tuned by the master; 1 is normal. */
  weight(server: Server): number;
}

/** A server that may be picked; the candidate with the highest score is picked. */
export interface Candidate {
  readonly server: Server;
  readonly score: number;
}

/** Filters the candidates or adjusts their scores. */
export type PlacementPolicy = (
  candidates: readonly Candidate[],
  context: PlacementContext,
) => readonly Candidate[];

/** Cost that each running request adds to a step, as a share of the batch memory per place, in tokens. */
const stepShareOfPlace = 1 / 25;
/** Cost of each request queued beyond a full batch, in steps. */
const queuedCost = 8;
/** Cost of a batching server in another zone, in steps. */
const remoteBatchCost = 1;
/** Cost of a server in another zone that does not batch, in requests. */
const remoteCost = 0.25;
/** Extra cost of each request of this front: among servers with equal load, the one with fewer of them ranks first. */
const inFlightTieBreakCost = 0.1;
/** Lower bound of a weight when the load cost is divided by it. */
const minWeight = 0.05;
const maxWeightBonus = 0.5;
const defaultAffinityGain = 4;
const defaultLoadCost = 1;

const requestsAt = ({ inFlight, requests }: ObservedServer): number => Math.max(inFlight, requests);

/** Drops servers that the operator drains or that report that they are draining. */
const excludeDraining: PlacementPolicy = (candidates, context) =>
  candidates.filter(({ server }) => !server.draining && !context.observed(server).draining);

/** Keeps the healthy servers; if there are none, all that are not `bad`. */
const preferHealthy: PlacementPolicy = (candidates, context) => {
  const healthy = candidates.filter(
    ({ server }) => context.observed(server).health === 'good' && !server.down,
  );
  if (healthy.length > 0) return healthy;
  return candidates.filter(({ server }) => context.observed(server).health !== 'bad');
};

/** Cost of one more request at a batching server, in steps: prefill, running requests, and queued requests. */
const batchCostOf = (server: Server, engine: Engine, context: PlacementContext): number => {
  const running = requestsAt(context.observed(server));
  const stepTokens = (engine.memoryTokens / engine.places) * stepShareOfPlace;
  const queued = Math.max(0, running + 1 - engine.places);
  const prefillTokens = context.promptTokens * (1 - context.cachedShare(server));
  return (prefillTokens + running * stepTokens + queued * queuedCost * stepTokens) / stepTokens;
};

/**
 * For batching servers and prompts of known size: subtracts the cost of the tokens that the server would have to
 * prefill and of the requests that it already runs or queues.
 */
const batchCost: PlacementPolicy = (candidates, context) =>
  candidates.map((candidate) => {
    const { server, score } = candidate;
    const engine = context.engine(server);
    if (!engine || context.promptTokens === 0) return candidate;
    const remote = context.isNear(server) ? 0 : remoteBatchCost;
    return { server, score: score - batchCostOf(server, engine, context) - remote };
  });

/** For servers that do not batch: adds `gain`, scaled by the cached share of the prompt. */
const prefixAffinity =
  (gain: number): PlacementPolicy =>
  (candidates, context) =>
    candidates.map((candidate) => {
      const { server, score } = candidate;
      if (context.engine(server)) return candidate;
      return { server, score: score + gain * context.cachedShare(server) };
    });

/** Where `batchCost` does not apply: subtracts `cost` for each request at the server, divided by its weight. */
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

/** Adds a bonus by weight, so that a server that is slow by its tuned weight ranks below an otherwise equal one. */
const weightBonus: PlacementPolicy = (candidates, context) =>
  candidates.map(({ server, score }) => ({
    server,
    score: score + Math.min(1, context.weight(server)) * maxWeightBonus,
  }));

/** The policies used in production, in order; prefix affinity can be disabled by the settings. */
export const placementPolicies = (withAffinity: boolean): readonly PlacementPolicy[] => [
  excludeDraining,
  preferHealthy,
  ...(withAffinity ? [batchCost, prefixAffinity(defaultAffinityGain)] : []),
  loadCost(defaultLoadCost),
  weightBonus,
];
