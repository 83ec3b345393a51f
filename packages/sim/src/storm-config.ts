/** The configurations of storms: sound ones that differ from one another, and ones that must be refused. */
import { passRoutes } from './pass.js';

/** What a configuration is made from: its base, the pools of turns and calls, and how many routes more it has. */
export interface StormConfigOptions {
  readonly base: number;
  readonly turnPools: readonly string[];
  readonly callPool: string;
  readonly extraRouteCount: number;
  /** Changes weights, deadlines and the time of idle connections; 0 leaves the usual ones. */
  readonly variant?: number;
}

const usualDeadlineMs = 8000;
const usualIdleMs = 60000;

/** The text of a sound configuration. */
export const stormConfig = ({
  base,
  turnPools,
  callPool,
  extraRouteCount,
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
    ],
    routes: [
      {
        name: 'chat',
        match: { kind: 'turn', path: '/chat' },
        shares: turnPools.map((pool, i) => ({ pool, share: 1 + ((variant + i * variant) % 3) })),
      },
      call('hold', '/hold', { acting: true }),
      call('alarm', '/alarm', { acting: true, urgent: true }),
      ...passRoutes(turnPools, callPool, usualDeadlineMs - (variant % 4) * 500),
      ...Array.from({ length: extraRouteCount }, (_, i) => call(`x${i}`, `/x/${i}`)),
    ],
    budgets: { program: 1000, turn: 16 },
    limits: { idleMs: usualIdleMs - (variant % 5) * 1000 },
  });
};

/** A configuration that must be refused, and what is wrong with it. */
export interface InvalidConfig {
  readonly flaw: string;
  readonly text: string;
}

/** Spoils a sound configuration on `base` in every way that operators may. */
export const invalidConfigs = (sound: string, base: number): readonly InvalidConfig[] => [
  { flaw: 'cut short', text: sound.slice(0, Math.floor(sound.length / 2)) },
  { flaw: 'unknown pool', text: sound.replace('"pool":"shop"', '"pool":"nowhere"') },
  { flaw: 'two routes at one place', text: sound.replace('/alarm', '/hold') },
  { flaw: 'no weight', text: sound.replace('"share":1', '"share":0') },
  { flaw: 'no deadline', text: sound.replace('"deadlineMs":8000', '"deadlineMs":null') },
  { flaw: 'an old version', text: sound.replace('{', `{"version":${base},`) },
  { flaw: 'an old base', text: sound.replace(`"base":${base}`, `"base":${base - 1}`) },
  { flaw: 'two pools of one name', text: sound.replace('"name":"shop"', '"name":"models"') },
];
