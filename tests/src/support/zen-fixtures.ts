/** Members, states, messages and a scripted transport for unit tests of discovery, election and publishing. */
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

/** Bounds as a small site states them, in milliseconds. */
export const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
});

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

/** The state that `a`, `b` and `c` are bootstrapped with, at term 0 and version 1. */
export const bootstrapped = bootstrapState('x', [a, b, c], 1);

export const stateAt = (term: number, version: number, more: Partial<State> = {}): State => ({
  ...bootstrapped,
  term,
  version,
  ...more,
});

const pack = (payload: object): string => deflateSync(JSON.stringify(payload)).toString('base64');

/** The body of a publish of the whole state by `from`. */
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

/** The body of a publish of the difference between two states. */
export const publishDiffOf = (from: Member, base: State, state: State): Publish => ({
  from,
  term: state.term,
  clusterId: state.clusterId,
  packed: pack({ diff: diffStates(base, state) }),
});

/** The reply of a control of cluster `x` that is able to win. */
export const pingResponse = (from: Member, more: Partial<PingResponse> = {}): PingResponse => ({
  from,
  eligible: from.kind === 'control',
  canWin: from.kind === 'control',
  term: 0,
  clusterId: 'x',
  joinedBefore: false,
  accepted: { term: 0, version: 1 },
  voters: bootstrapped.voters,
  known: [],
  ...more,
});

/** The reply of a control that belongs to no cluster yet. */
export const blankPingResponse = (
  from: Member,
  more: Partial<PingResponse> = {},
): PingResponse => ({
  ...pingResponse(from, { canWin: false, clusterId: '', accepted: { term: -1, version: 0 } }),
  voters: undefined,
  ...more,
});

/** `done`, or the code of the error that the work ends with. */
export const outcomeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'done',
    (e: unknown) => toRpcError(e).code,
  );

/** A store of an election in memory that has accepted a state. */
export const electionStoreWith = async (
  state: State | undefined,
  id = 'me',
): Promise<MemoryElectionStore> => {
  const electionStore = new MemoryElectionStore(id);
  if (state) await electionStore.accept(state);
  return electionStore;
};

/** Counts the waits for earlier records, and lets a test refuse them. */
export class ObservedElectionStore extends MemoryElectionStore {
  syncsAwaited = 0;
  failsToSync = false;

  override synced(): Promise<void> {
    this.syncsAwaited++;
    return this.failsToSync ? Promise.reject(new Error('the disk takes no bytes')) : super.synced();
  }

  override async recordVote(term: number, to: string): Promise<void> {
    await super.recordVote(term, to);
    if (this.failsToSync) throw new Error('the disk takes no bytes');
  }
}

export interface SentRequest {
  readonly to: string;
  readonly kind: string;
  readonly body: unknown;
}

/** A transport on which a test answers every request; what was sent is recorded. */
export class ScriptedTransport implements Transport {
  readonly self = 'me';
  readonly sent: SentRequest[] = [];

  constructor(private readonly answer: (request: SentRequest) => Promise<unknown>) {}

  call(to: string, kind: string, body: unknown): Promise<unknown> {
    const request = { to, kind, body };
    this.sent.push(request);
    return this.answer(request);
  }

  /** How many requests of this kind were sent. */
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
