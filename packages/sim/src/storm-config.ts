import { passLanes } from './pass.js';

export interface StormConfig {
  readonly base: number;
  readonly turnPools: readonly string[];
  readonly callPool: string;
  readonly extra: number;
}

export const stormConfig = ({ base, turnPools, callPool, extra }: StormConfig): string => {
  const call = (name: string, path: string, more: object = {}): object => ({ name, match: { kind: 'call', path }, shares: [{ pool: callPool, share: 1 }], ...more });
  return JSON.stringify({
    base,
    pools: [...turnPools.map((name) => ({ name, kind: 'model' })), { name: callPool, kind: 'service' }],
    lanes: [
      { name: 'chat', match: { kind: 'turn', path: '/chat' }, shares: turnPools.map((pool) => ({ pool, share: 1 })) },
      call('hold', '/hold', { acting: true }),
      call('alarm', '/alarm', { acting: true, urgent: true }),
      ...passLanes(turnPools, callPool),
      ...Array.from({ length: extra }, (_, i) => call(`x${i}`, `/x/${i}`)),
    ],
    budgets: { program: 1000, turn: 16 },
  });
};
