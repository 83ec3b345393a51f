/** The configurations that the operators of a fleet submit. */
import type { Site } from './layout.js';

/** What a configuration of a fleet is made from. */
export interface ConfigShape {
  readonly base: number;
  readonly turnPools: readonly string[];
  readonly callPools: readonly string[];
  readonly extraRoutes: number;
  readonly note: string;
  readonly tuning?: boolean;
}

/** The text of a configuration for a house. */
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
