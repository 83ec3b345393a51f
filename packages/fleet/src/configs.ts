/** Generates the configurations that a fleet's operators submit. */
import type { Site } from './layout.js';

/** The variable parts of a generated configuration. */
export interface ConfigShape {
  /** The version that the configuration is based on. */
  readonly base: number;
  /** Pools of the chat route, with equal shares. */
  readonly turnPools: readonly string[];
  /** Pools of the call routes, with equal shares. */
  readonly callPools: readonly string[];
  /** Number of unused call routes, which make the configuration larger. */
  readonly extraRoutes: number;
  /** Text of the comment in the first line. */
  readonly note: string;
  /** Whether server weights are tuned; true by default. */
  readonly tuning?: boolean;
}

/** Returns the text of a configuration file for one of the users' sites. */
export const configFor = (house: Site, shape: ConfigShape): string => {
  const pools = [
    ...[...new Set([house.modelPool, ...shape.turnPools])].map((name) => ({ name, kind: 'model' })),
    ...[...new Set([house.servicePool, ...shape.callPools])].map((name) => ({
      name,
      kind: 'service',
    })),
  ];
  const routes = [
    {
      name: 'chat',
      match: { kind: 'turn', path: '/chat' },
      shares: shape.turnPools.map((pool) => ({ pool, share: 10 })),
    },
    ...house.paths.map((path, i) => ({
      name: `act-${i}`,
      match: { kind: 'call', path },
      acting: true,
      urgent: i === 0,
      shares: shape.callPools.map((pool) => ({ pool, share: 10 })),
    })),
    ...Array.from({ length: shape.extraRoutes }, (_, i) => ({
      name: `extra-${i}`,
      match: { kind: 'call', path: `/extra/${i}` },
      shares: shape.callPools.map((pool) => ({ pool, share: 1 })),
    })),
  ];
  const file = {
    base: shape.base,
    pools,
    routes,
    tuning: shape.tuning ?? true,
    budgets: { program: 100000, turn: 64 },
  };
  return `# ${shape.note}\n${JSON.stringify(file, null, 1)}\n`;
};
