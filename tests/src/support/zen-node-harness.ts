/** A cluster node with scripted peers, for unit tests of the requests that it sends, answers and rejects. */
import { SimClock } from '@tillerstair/sim';
import { type Member, type State } from '@tillerstair/state';
import { ConnectionRefusedError, silentLogger, delay } from '@tillerstair/wire';
import {
  MemoryElectionStore,
  ZenNode,
  type PingResponse,
  type ZenNodeOptions,
} from '@tillerstair/zen';
import {
  a,
  b,
  bootstrapped,
  bounds,
  c,
  pingResponse,
  ScriptedTransport,
  type SentRequest,
} from './zen-fixtures.js';

/** Duration of each request, in milliseconds of simulated time. */
const roundTripMs = 1;
/** Milliseconds of simulated time within which a node finds and joins a master. */
export const settleMs = 10 * roundTripMs;

/** Answers of the peers, by kind of request; the connection is refused for other kinds. */
export type Answers = Readonly<Partial<Record<string, (request: SentRequest) => Promise<unknown>>>>;

export interface HarnessOptions {
  readonly me?: Member;
  /** State that the node has accepted before it starts; `undefined` for none, by default the bootstrap state. */
  readonly state?: State | undefined;
  readonly electionStore?: MemoryElectionStore;
  readonly answers?: Answers;
  readonly overrides?: Partial<ZenNodeOptions>;
}

/** Election store in memory that a test can make unwritable. */
export class TogglableElectionStore extends MemoryElectionStore {
  override writable = true;
}

/** A node with simulated time and a scripted transport. */
export class NodeHarness {
  readonly clock = new SimClock();
  readonly transport: ScriptedTransport;
  readonly node: ZenNode;

  constructor(
    readonly me: Member,
    readonly electionStore: MemoryElectionStore,
    answers: Answers,
    overrides: Partial<ZenNodeOptions>,
  ) {
    this.transport = new ScriptedTransport(async (request) => {
      await delay(this.clock, roundTripMs);
      const answer = answers[request.kind];
      if (!answer) throw new ConnectionRefusedError(request.to);
      return answer(request);
    });
    this.node = new ZenNode({
      me,
      seeds: [a.addr, b.addr, c.addr],
      clock: this.clock,
      transport: this.transport,
      electionStore,
      bounds,
      log: silentLogger,
      slots: 1,
      ...overrides,
    });
  }

  /** Delivers a request of a peer to the node. */
  handle(kind: string, body: unknown, from: Member = a): Promise<unknown> {
    return this.node.handle({ from: from.addr, kind, body });
  }

  /** Delivers a join of a peer of cluster `x` to the node. */
  join(from: Member, overrides: object = {}): Promise<unknown> {
    const accepted = { term: 0, version: 1 };
    return this.handle('zen/join', { from, term: 0, accepted, clusterId: 'x', ...overrides }, from);
  }

  /** Starts the node and advances the simulated time by `ms` milliseconds. */
  async startFor(ms: number): Promise<void> {
    this.node.start();
    await this.clock.run(ms);
  }
}

/** Creates a node, by default control `a` with the bootstrap state accepted; does not start it. */
export const createHarness = async (options: HarnessOptions = {}): Promise<NodeHarness> => {
  const { me = a, answers = {}, overrides = {} } = options;
  const state = 'state' in options ? options.state : bootstrapped;
  const electionStore = options.electionStore ?? new MemoryElectionStore(me.id);
  if (state) await electionStore.accept(state);
  return new NodeHarness(me, electionStore, answers, overrides);
};

/** Answers a ping with the response whose sender has the pinged address; refuses the connection if there is none. */
export const answersPings =
  (...replies: readonly PingResponse[]) =>
  (request: SentRequest): Promise<unknown> => {
    const reply = replies.find((response) => response.from.addr === request.to);
    return reply ? Promise.resolve(reply) : Promise.reject(new ConnectionRefusedError(request.to));
  };

/** Answers every request with the same body. */
export const answersWith = (answer: unknown) => (): Promise<unknown> => Promise.resolve(answer);

/** Answers of peers that vote for a control `a` and follow it. */
export const followerAnswers: Answers = {
  'zen/ping': answersPings(pingResponse(b), pingResponse(c)),
  'zen/validate': answersWith({ accepted: { term: 0, version: 1 } }),
  'zen/publish': answersWith({ outcome: 'accepted' }),
  'zen/commit': answersWith({}),
  'zen/node-ping': answersWith({ term: 1, applied: { term: 1, version: 2 }, report: null }),
};

/** Starts a control `a` that `b` has joined and that is master in term 1. */
export const leadingHarness = async (options: HarnessOptions = {}): Promise<NodeHarness> => {
  const harness = await createHarness({
    ...options,
    answers: { ...followerAnswers, ...options.answers },
  });
  await harness.startFor(settleMs);
  const joined = harness.join(b);
  await harness.clock.finish('join', joined, bounds.joinTimeout);
  return harness;
};

/** Response of a master `a` in term 1 to the ping of a follower. */
export const masterPingResponse = {
  leading: true,
  listed: true,
  term: 1,
  committed: { term: -1, version: 0 },
  age: 0,
};

/** Answers of a master `a` in term 1, and of another control `c`, to a node that joins and follows `a`. */
export const masterAnswers: Answers = {
  'zen/ping': answersPings(pingResponse(a, { master: a }), pingResponse(c)),
  'zen/join': answersWith({ term: 1 }),
  'zen/master-ping': answersWith(masterPingResponse),
};

/** Starts a control `b` that follows `a`. */
export const followingHarness = async (options: HarnessOptions = {}): Promise<NodeHarness> => {
  const harness = await createHarness({
    me: b,
    ...options,
    answers: { ...masterAnswers, ...options.answers },
  });
  await harness.startFor(settleMs);
  return harness;
};
