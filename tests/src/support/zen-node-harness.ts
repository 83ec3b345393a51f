/** One node of a cluster whose peers are scripted, for unit tests of what it sends, answers and refuses. */
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

/** How long each request takes, in milliseconds of simulated time. */
const roundTripMs = 1;
/** Long enough for a node to find and to join a master. */
export const settleMs = 10 * roundTripMs;

/** What the peers answer to one kind of request; a kind that is not named is refused. */
export type Answers = Readonly<Partial<Record<string, (request: SentRequest) => Promise<unknown>>>>;

export interface HarnessOptions {
  readonly me?: Member;
  /** The state that the node has accepted before it starts, if any. */
  readonly state?: State | undefined;
  readonly electionStore?: MemoryElectionStore;
  readonly answers?: Answers;
  readonly overrides?: Partial<ZenNodeOptions>;
}

/** An election store in memory whose disk a test can take away. */
export class TogglableElectionStore extends MemoryElectionStore {
  override writable = true;
}

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

  /** Hands the node a request of a peer. */
  handle(kind: string, body: unknown, from: Member = a): Promise<unknown> {
    return this.node.handle({ from: from.addr, kind, body });
  }

  /** Asks the node to be joined by a peer, as a member of cluster `x`. */
  join(from: Member, more: object = {}): Promise<unknown> {
    const accepted = { term: 0, version: 1 };
    return this.handle('zen/join', { from, term: 0, accepted, clusterId: 'x', ...more }, from);
  }

  /** Starts the node and lets so much simulated time pass. */
  async startFor(ms: number): Promise<void> {
    this.node.start();
    await this.clock.run(ms);
  }
}

export const createHarness = async (options: HarnessOptions = {}): Promise<NodeHarness> => {
  const { me = a, answers = {}, overrides = {} } = options;
  const state = 'state' in options ? options.state : bootstrapped;
  const electionStore = options.electionStore ?? new MemoryElectionStore(me.id);
  if (state) await electionStore.accept(state);
  return new NodeHarness(me, electionStore, answers, overrides);
};

/** Answers each ping with the reply of the node at the address, if it has one here. */
export const answersPings =
  (...replies: readonly PingResponse[]) =>
  (request: SentRequest): Promise<unknown> => {
    const reply = replies.find((response) => response.from.addr === request.to);
    return reply ? Promise.resolve(reply) : Promise.reject(new ConnectionRefusedError(request.to));
  };

export const answersWith = (answer: unknown) => (): Promise<unknown> => Promise.resolve(answer);

/** What peers answer to a control `a` that they vote for and follow. */
export const followerAnswers: Answers = {
  'zen/ping': answersPings(pingResponse(b), pingResponse(c)),
  'zen/validate': answersWith({ accepted: { term: 0, version: 1 } }),
  'zen/publish': answersWith({ outcome: 'accepted' }),
  'zen/commit': answersWith({}),
  'zen/node-ping': answersWith({ term: 1, applied: { term: 1, version: 2 }, report: null }),
};

/** A control `a` that was joined by `b` and is master in term 1. */
export const leadingHarness = async (options: HarnessOptions = {}): Promise<NodeHarness> => {
  const rig = await createHarness({
    ...options,
    answers: { ...followerAnswers, ...options.answers },
  });
  await rig.startFor(settleMs);
  const joined = rig.join(b);
  await rig.clock.finish('join', joined, bounds.joinTimeout);
  return rig;
};

/** What a master `a` in term 1 answers to a node that follows it. */
export const masterPingResponse = {
  leading: true,
  listed: true,
  term: 1,
  committed: { term: -1, version: 0 },
  age: 0,
};

export const masterAnswers: Answers = {
  'zen/ping': answersPings(pingResponse(a, { master: a }), pingResponse(c)),
  'zen/join': answersWith({ term: 1 }),
  'zen/master-ping': answersWith(masterPingResponse),
};

/** A control `b` that follows `a`. */
export const followingHarness = async (options: HarnessOptions = {}): Promise<NodeHarness> => {
  const rig = await createHarness({
    me: b,
    ...options,
    answers: { ...masterAnswers, ...options.answers },
  });
  await rig.startFor(settleMs);
  return rig;
};
