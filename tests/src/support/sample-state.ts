/** Small cluster states for unit tests: members, slots, and a state of three controls with stores and fronts. */
import { bootstrapState, type Member, type Slot, type State } from '@tillerstair/state';

export const sampleMember = (
  id: string,
  kind: Member['kind'],
  overrides: Partial<Member> = {},
): Member => ({
  id,
  kind,
  addr: `${id}:1`,
  http: `${id}:2`,
  zone: 'zone-0',
  data: '',
  name: `${id}-name`,
  ...overrides,
});

export const sampleSlot = (overrides: Partial<Slot> = {}): Slot => ({
  owner: 'f1',
  ownershipEpoch: 3,
  ownedSinceEpoch: 2,
  transferTarget: '',
  replicas: ['s1', 's2', 's3'],
  joiningReplicas: [],
  replacedReplica: '',
  ...overrides,
});

const controls = ['c1', 'c2', 'c3'].map((id) => sampleMember(id, 'control'));
const stores = ['s1', 's2', 's3', 's4'].map((id) => sampleMember(id, 'store'));
const fronts = ['f1', 'f2'].map((id) => sampleMember(id, 'front'));

/** Three voting controls, four stores (s4 without replicas in the default slot), two fronts, and the given slots. */
export const sampleState = (
  slots: readonly Slot[] = [sampleSlot()],
  overrides: Partial<State> = {},
): State => ({
  ...bootstrapState('sample', controls, slots.length),
  term: 2,
  version: 7,
  master: 'c1',
  nodes: new Map([...controls, ...stores, ...fronts].map((member) => [member.id, member])),
  slots,
  ...overrides,
});
