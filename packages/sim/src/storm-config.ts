/** The configurations of storms: valid ones that differ from one another, and invalid ones. */
import { keyedSplitRoutes, passRoutes } from './pass.js';
import { recordingPools } from './sim-servers.js';

/** Options of a generated configuration: base version, pools of turns and calls, and number of extra routes. */
export interface StormConfigOptions {
  readonly base: number;
  readonly turnPools: readonly string[];
  readonly callPool: string;
  readonly extraRoutes: number;
  /** Varies weights, deadlines and the idle time-out of connections; 0 leaves the defaults. */
  readonly variant?: number;
}

const defaultDeadlineMs = 8000;
const defaultIdleMs = 60000;

/** The JSON text of a valid configuration. */
export const stormConfig = ({
  base,
  turnPools,
  callPool,
  extraRoutes,
  variant = 0,
}: StormConfigOptions): string => {
  const call = (name: string, path: string, more: object = {}): object => ({
    name,
    match: { kind: 'call', path },
    shares: [{ pool: callPool, share: 1 }],
    ...more,
  });
  return JSON.stringify({
    base,
    pools: [
      ...turnPools.map((name) => ({ name, kind: 'model' })),
      { name: callPool, kind: 'service' },
      ...recordingPools.map((name) => ({ name, kind: 'service', remembersKeys: true })),
    ],
    routes: [
      {
        name: 'chat',
        match: { kind: 'turn', path: '/chat' },
        shares: turnPools.map((pool, i) => ({ pool, share: 1 + ((variant + i * variant) % 3) })),
      },
      call('hold', '/hold', { acting: true }),
      call('alarm', '/alarm', { acting: true, urgent: true }),
      ...passRoutes(turnPools, callPool, defaultDeadlineMs - (variant % 4) * 500),
      ...keyedSplitRoutes(variant),
      ...Array.from({ length: extraRoutes }, (_, i) => call(`x${i}`, `/x/${i}`)),
    ],
    budgets: { program: 1000, turn: 16 },
    limits: { idleMs: defaultIdleMs - (variant % 5) * 1000 },
  });
};

/** A configuration that must be refused, and a description of its flaw. */
export interface InvalidConfig {
  readonly flaw: string;
  readonly text: string;
}

/** Variants of a valid configuration on `base`, each with one flaw. */
export const invalidConfigs = (valid: string, base: number): readonly InvalidConfig[] => [
  { flaw: 'cut short', text: valid.slice(0, Math.floor(valid.length / 2)) },
  { flaw: 'unknown pool', text: valid.replace('"pool":"shop"', '"pool":"nowhere"') },
  { flaw: 'two routes at one place', text: valid.replace('/alarm', '/hold') },
  { flaw: 'no weight', text: valid.replace('"share":1', '"share":0') },
  { flaw: 'no deadline', text: valid.replace('"deadlineMs":8000', '"deadlineMs":null') },
  { flaw: 'an old version', text: valid.replace('{', `{"version":${base},`) },
  { flaw: 'an old base', text: valid.replace(`"base":${base}`, `"base":${base - 1}`) },
  { flaw: 'two pools of one name', text: valid.replace('"name":"shop"', '"name":"models"') },
];
