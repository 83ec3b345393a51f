/** A master `a` with scripted peers on a simulated clock: its requests are recorded, and the test sets the replies. */
import { inflateSync } from 'node:zlib';
import { SimClock } from '@tillerstair/sim';
import {
  bootstrapState,
  type Member,
  type State,
  type StateVersion,
  type VotingConfiguration,
} from '@tillerstair/state';
import {
  ConnectionRefusedError,
  delay,
  silentLogger,
  RequestTimeoutError,
  toRpcError,
  type Transport,
} from '@tillerstair/wire';
import {
  Commit,
  type ElectionStore,
  Master,
  MemoryElectionStore,
  PublishPayload,
  type PersistentState,
  Publish,
  zenBounds,
} from '@tillerstair/zen';

export const bounds = zenBounds({
  serveWithin: 12000,
  drainingWithin: 3000,
  heartbeatInterval: 1000,
  failureTimeout: 3000,
});

/** Time, in ms, from a request of the master to the reply of a peer. */
export const roundTrip = 10;
/** The term in which the master under test was elected. */
export const term = 4;
/** The version of the initial state of the master, which was accepted in an earlier term. */
export const newestVersion = 7;

export const memberOf = (id: string, kind: Member['kind'] = 'control'): Member => ({
  id,
  kind,
  addr: id,
  http: '',
  zone: '',
  data: '',
  name: '',
});

export const noVersion: StateVersion = { term: -1, version: 0 };

/** An initial state of the master with these voters; they and the other members are on the list of nodes. */
export const stateWith = (voters: VotingConfiguration, others: readonly Member[] = []): State => {
  const votingMembers = [...new Set([...voters.current, ...voters.next])].map((id) => memberOf(id));
  return {
    ...bootstrapState('cluster', votingMembers, 1),
    term: term - 1,
    version: newestVersion,
    voters,
    nodes: new Map([...votingMembers, ...others].map((member) => [member.id, member])),
  };
};

export const threeVoters: VotingConfiguration = {
  current: ['a', 'b', 'c'],
  next: ['a', 'b', 'c'],
};

interface SentMessage {
  readonly to: string;
  readonly kind: string;
  readonly at: number;
  readonly body: unknown;
}

type Reply = (message: SentMessage) => unknown;

/** The scripted peer at one address. */
export class FakePeer {
  private readonly replies = new Map<string, Reply>();
  /** Whether the peer never replies, so that each call ends with a timeout. */
  silent = false;
  /** Whether the peer's host refuses connections. */
  refusing = false;
  /** Time, in ms, that the peer takes to reply. */
  delayMs = roundTrip;
  term = term;
  applied: StateVersion = noVersion;

  /** From now on, answers requests of this kind with the result of `reply`, which may throw. */
  on(kind: string, reply: Reply): void {
    this.replies.set(kind, reply);
  }

  answer(message: SentMessage): unknown {
    const reply = this.replies.get(message.kind);
    if (reply) return reply(message);
    switch (message.kind) {
      case 'zen/commit':
        this.applied = Commit.parse(message.body).stateVersion;
        return {};
      case 'zen/publish':
        return { outcome: 'accepted' };
      case 'zen/node-ping':
        return { term: this.term, applied: this.applied, report: null };
      case 'zen/validate':
        return { accepted: noVersion };
      default:
        return {};
    }
  }
}

/** The payload of a recorded `zen/publish`. */
const payloadOf = (message: SentMessage): PublishPayload =>
  PublishPayload.parse(
    JSON.parse(
      inflateSync(Buffer.from(Publish.parse(message.body).packed, 'base64')).toString('utf8'),
    ),
  );

/** Whether a recorded `zen/publish` carried the whole state. */
export const isFull = (message: SentMessage): boolean => 'full' in payloadOf(message);

/** The outcome of a call: `done`, or the code and the `executed` status of its error. */
export const outcomeOf = (work: Promise<unknown>): Promise<string> =>
  work.then(
    () => 'done',
    (e: unknown) => `${toRpcError(e).code} ${toRpcError(e).executed}`,
  );

/** An in-memory election store that a test can mark as not writable. */
class TestElectionStore implements ElectionStore {
  writable = true;
  private readonly memory = new MemoryElectionStore('a');

  get persisted(): PersistentState {
    return this.memory.persisted;
  }

  recordVote(voteTerm: number, candidate: string): Promise<void> {
    return this.memory.recordVote(voteTerm, candidate);
  }

  recordBootstrapVote(members: readonly Member[]): Promise<void> {
    return this.memory.recordBootstrapVote(members);
  }

  accept(state: State): Promise<void> {
    return this.memory.accept(state);
  }

  synced(): Promise<void> {
    return this.memory.synced();
  }
}

export interface MasterHarnessOptions {
  readonly newest?: State;
  readonly settle?: (state: State) => State;
  readonly onApply?: (state: State) => Promise<void>;
}

export class MasterHarness {
  readonly clock = new SimClock();
  readonly electionStore = new TestElectionStore();
  readonly sent: SentMessage[] = [];
  readonly reports: string[] = [];
  readonly warnings: string[] = [];
  readonly applied: State[] = [];
  private readonly peers = new Map<string, FakePeer>();
  readonly transport: Transport = {
    self: 'a',
    onConnectionLost: () => undefined,
    serve: () => Promise.resolve(),
    close: () => Promise.resolve(),
    call: async (to, kind, body, { timeoutMs }) => {
      const message = { to, kind, body, at: this.clock.now() };
      this.sent.push(message);
      const peer = this.peer(to);
      if (peer.refusing) throw new ConnectionRefusedError(to);
      const timesOut = peer.silent || peer.delayMs > timeoutMs;
      await delay(this.clock, timesOut ? timeoutMs : peer.delayMs);
      if (timesOut || peer.silent) throw new RequestTimeoutError(to);
      return peer.answer(message);
    },
  };

  readonly master: Master;

  private constructor(
    readonly newest: State,
    options: MasterHarnessOptions,
  ) {
    this.master = new Master(
      {
        localMember: memberOf('a'),
        clock: this.clock,
        transport: this.transport,
        electionStore: this.electionStore,
        bounds,
        log: { ...silentLogger, warn: (text) => this.warnings.push(text) },
        settle: options.settle ?? ((state) => state),
        apply: async (state) => {
          this.applied.push(state);
          await options.onApply?.(state);
        },
        onReport: (id) => {
          this.reports.push(id);
        },
      },
      term,
      newest,
    );
  }

  /** A master that has won its election and has not published yet. */
  static async elected(options: MasterHarnessOptions = {}): Promise<MasterHarness> {
    const newest = options.newest ?? stateWith(threeVoters);
    const harness = new MasterHarness(newest, options);
    await harness.electionStore.accept(newest);
    await harness.electionStore.recordVote(term, 'a');
    return harness;
  }

  /** A master that has committed its first state. */
  static async started(options: MasterHarnessOptions = {}): Promise<MasterHarness> {
    const harness = await MasterHarness.elected(options);
    await harness.clock.finish('begin', harness.begin(), bounds.publishTimeout);
    await harness.clock.run(roundTrip * 2);
    return harness;
  }

  /** The first publish, on the votes of all voters. */
  begin(): Promise<void> {
    const joiners = [...this.newest.votingMembers.values()].filter(({ id }) => id !== 'a');
    return this.master.begin(joiners, this.clock.now());
  }

  peer(id: string): FakePeer {
    const peer = this.peers.get(id) ?? new FakePeer();
    this.peers.set(id, peer);
    return peer;
  }

  /** The messages of a kind that were sent to one peer, or to all if `to` is left out. */
  sentOf(kind: string, to?: string): readonly SentMessage[] {
    return this.sent.filter(
      (message) => message.kind === kind && (to === undefined || message.to === to),
    );
  }

  /** Advances simulated time until `work` ends, for at most `withinMs`; resolves with its outcome. */
  outcome(work: Promise<unknown>, withinMs = bounds.failureTimeout * 2): Promise<string> {
    return this.clock.finish('an outcome', outcomeOf(work), withinMs);
  }
}
