/** Fixtures for unit tests of discovery, election and publishing: members, states, messages and a scripted transport. */
import { deflateSync } from 'node:zlib';
import {
  bootstrapState,
  diffStates,
  encodeState,
  type Member,
  type State,
} from '@tillerstair/state';
import { toRpcError, type Transport } from '@tillerstair/wire';
import { MemoryElectionStore, zenBounds, type PingResponse, type Publish } from '@tillerstair/zen';

/** Bounds of a small deployment, in milliseconds. */
export const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
});

/** Member whose address is made of its id; a control by default. */
export const member = (id: string, kind: Member['kind'] = 'control'): Member => ({
  id,
  kind,
  addr: `${id}:1`,
  http: '',
  zone: '',
  data: '',
  name: '',
});

export const [a, b, c] = [member('a'), member('b'), member('c')];

/** Bootstrap state of cluster `x` with the voters `a`, `b` and `c`, at term 0 and version 1. */
export const bootstrapped = bootstrapState('x', [a, b, c], 1);

/** The bootstrap state with another term and version, and these fields replaced. */
export const stateAt = (term: number, version: number, overrides: Partial<State> = {}): State => ({
  ...bootstrapped,
  term,
  version,
  ...overrides,
});

const pack = (payload: object): string => deflateSync(JSON.stringify(payload)).toString('base64');

/** Body of a publish of the full state by `from`. */
export const publishOf = (
  from: Member,
  state: State,
  to = '',
): Publish & { readonly to: string } => ({
  from,
  to,
  term: state.term,
  clusterId: state.clusterId,
  packed: pack({ full: [...encodeState(state)] }),
});

/** Body of a publish of the diff between two states by `from`. */
export const publishDiffOf = (from: Member, base: State, state: State): Publish => ({
  from,
  term: state.term,
  clusterId: state.clusterId,
  packed: pack({ diff: diffStates(base, state) }),
});

/** Ping response of a control of cluster `x` that can win an election. */
export const pingResponse = (
  from: Member,
  overrides: Partial<PingResponse> = {},
): PingResponse => ({
  from,
  eligible: from.kind === 'control',
  canWin: from.kind === 'control',
  term: 0,
  clusterId: 'x',
  joinedBefore: false,
  accepted: { term: 0, version: 1 },
  voters: bootstrapped.voters,
  known: [],
  ...overrides,
});

/** Ping response of a control that belongs to no cluster yet. */
export const blankPingResponse = (
  from: Member,
  overrides: Partial<PingResponse> = {},
): PingResponse => ({
  ...pingResponse(from, { canWin: false, clusterId: '', accepted: { term: -1, version: 0 } }),
  voters: undefined,
  ...overrides,
});

/** Resolves with `done`, or with the code of the error that `work` rejects with. */
export const outcomeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'done',
    (e: unknown) => toRpcError(e).code,
  );

/** Creates an election store in memory that has accepted the state, if one is given. */
export const electionStoreWith = async (
  state: State | undefined,
  id = 'me',
): Promise<MemoryElectionStore> => {
  const electionStore = new MemoryElectionStore(id);
  if (state) await electionStore.accept(state);
  return electionStore;
};

/** Election store in memory that counts calls of `synced`, and whose syncs a test can make fail. */
export class ObservedElectionStore extends MemoryElectionStore {
  syncsAwaited = 0;
  failsToSync = false;

  override synced(): Promise<void> {
    this.syncsAwaited++;
    return this.failsToSync
      ? Promise.reject(new Error('the disk accepts no writes'))
      : super.synced();
  }

  override async recordVote(term: number, to: string): Promise<void> {
    await super.recordVote(term, to);
    if (this.failsToSync) throw new Error('the disk accepts no writes');
  }
}

/** A request that was sent through a `ScriptedTransport`; `to` is an address. */
export interface SentRequest {
  readonly to: string;
  readonly kind: string;
  readonly body: unknown;
}

/** Transport that answers each request by a test's function, and records the requests sent. */
export class ScriptedTransport implements Transport {
  readonly self = 'me';
  readonly sent: SentRequest[] = [];

  constructor(private readonly answer: (request: SentRequest) => Promise<unknown>) {}

  call(to: string, kind: string, body: unknown): Promise<unknown> {
    const request = { to, kind, body };
    this.sent.push(request);
    return this.answer(request);
  }

  /** Number of requests of this kind that were sent. */
  count(kind: string): number {
    return this.sent.filter((request) => request.kind === kind).length;
  }

  serve(): Promise<void> {
    return Promise.resolve();
  }

  onConnectionLost(): void {
    return undefined;
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}
