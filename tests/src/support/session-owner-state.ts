/** The initial cluster state and configuration of a `SessionOwnerFixture`. */
import {
  checkConfig,
  configDigest,
  type Member,
  type Server,
  type Slot,
  type State,
} from '@tillerstair/state';

/** The front whose session owner is tested. */
export const frontId = 'f1';
/** The stores, each of which has a replica of the only slot. */
export const storeIds = ['a', 'b', 'c'] as const;
/** The host that all pass routes match. */
export const host = 'a.example';

/** A node of the cluster whose address is its id. */
export const memberOf = (id: string, kind: Member['kind']): Member => ({
  id,
  kind,
  addr: id,
  http: '',
  zone: '',
  data: id,
  name: '',
});

/** A healthy server of a pool. */
export const serverOf = (id: string, pool: string): Server => ({
  id,
  pool,
  url: `http://${id}`,
  draining: false,
  down: false,
  zone: '',
  places: 0,
});

/** A model pool, three service pools, two of which record keys, and a route for each kind of request. */
export const configuration = {
  base: 0,
  pools: [
    { name: 'models', kind: 'model' },
    { name: 'shop', kind: 'service' },
    { name: 'memo', kind: 'service', remembersKeys: true },
    { name: 'ledger', kind: 'service', remembersKeys: true },
  ],
  routes: [
    {
      name: 'chat',
      match: { kind: 'turn', path: '/chat' },
      shares: [{ pool: 'models', share: 1 }],
    },
    {
      name: 'act',
      match: { kind: 'call', path: '/act' },
      acting: true,
      shares: [{ pool: 'shop', share: 1 }],
    },
    { name: 'look', match: { kind: 'call', path: '/look' }, shares: [{ pool: 'shop', share: 1 }] },
    ...(
      [
        ['keyed', { manner: 'keyed', tries: 2 }, ['shop']],
        ['recorded', { manner: 'keyed', tries: 2 }, ['memo']],
        ['split', { manner: 'keyed', tries: 2 }, ['memo', 'ledger']],
        ['mixed', { manner: 'keyed', tries: 2 }, ['memo', 'shop']],
        ['once', { manner: 'once', tries: 2 }, ['shop']],
        ['again', { manner: 'repeatable', tries: 2 }, ['shop']],
        ['turn', { manner: 'stream', tries: 2, turnRetentionMs: 60000 }, ['models']],
        ['flow', { manner: 'stream', tries: 1 }, ['models']],
        ['live', { manner: 'stream', tries: 2, resumable: true }, ['models']],
      ] as const
    ).map(([name, pass, pools]) => ({
      name: `pass-${name}`,
      match: { kind: 'pass', host, path: `/${name}/` },
      pass: { deadlineMs: 8000, ...pass },
      shares: pools.map((pool) => ({ pool, share: 1 })),
    })),
  ],
  budgets: { program: 100, turn: 8 },
  bounds: { turnMs: 8000, callMs: 4000, queue: 256, perServer: 16 },
};

/** The record of a configuration in the cluster state. Throws if the configuration is invalid. */
export const configRecordOf = (config: object, version: number): State['config'] => {
  const text = JSON.stringify(config);
  const checked = checkConfig(text);
  if (!checked.config) throw new Error(JSON.stringify(checked.findings));
  return {
    version,
    text,
    digest: configDigest(text),
    compiled: JSON.stringify(checked.config),
    changeId: '',
  };
};

/** A slot that the tested front owns since `epoch`. */
export const ownedSlot = (epoch: number): Slot => ({
  owner: frontId,
  ownershipEpoch: epoch,
  ownedSinceEpoch: epoch,
  transferTarget: '',
  replicas: [...storeIds],
  joiningReplicas: [],
  replacedReplica: '',
});
