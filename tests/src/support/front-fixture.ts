/** A front on a simulated clock, with a transport and servers that do as a test says. */
import { Front, type FrontOptions } from '@tillerstair/proxy';
import type { BackendOutcome, ForwardedRequest, ResponseSink } from '@tillerstair/session-owner';
import { passRoutes, SimClock } from '@tillerstair/sim';
import {
  bootstrapState,
  checkConfig,
  encodeState,
  Member,
  Server,
  type ConfigRecord,
  type State,
} from '@tillerstair/state';
import {
  silentLogger,
  type CallOptions,
  type RequestHandler,
  type Transport,
} from '@tillerstair/wire';

/** A call that the front made over its transport. */
export interface RecordedCall {
  readonly to: string;
  readonly kind: string;
  readonly body: unknown;
  readonly bounds: CallOptions;
}

/** A transport that records calls and answers as `answer` says. */
export class ScriptedTransport implements Transport {
  readonly self = '10.0.0.1:1';
  readonly calls: RecordedCall[] = [];
  handler: RequestHandler | undefined;
  answer: (call: RecordedCall) => Promise<unknown> = () => new Promise(() => undefined);

  call(to: string, kind: string, body: unknown, bounds: CallOptions): Promise<unknown> {
    const made = { to, kind, body, bounds };
    this.calls.push(made);
    return this.answer(made);
  }

  serve(handler: RequestHandler): Promise<void> {
    this.handler = handler;
    return Promise.resolve();
  }

  onConnectionLost(): void {
    // Nobody asks.
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** What one of the servers does with a request on a pass route. */
export type PassBehavior = (
  passing: ForwardedRequest,
  sink: ResponseSink,
  gone: AbortSignal,
) => Promise<BackendOutcome>;

const configRecord = (note: string): ConfigRecord => {
  const text = JSON.stringify({
    base: 0,
    pools: [
      { name: 'models', kind: 'model' },
      { name: 'shop', kind: 'service' },
    ],
    routes: passRoutes(['models'], 'shop', 800),
    budgets: { program: 1000, turn: 16 },
    origin: note,
  });
  const { config } = checkConfig(text);
  return { version: 1, text, digest: note, compiled: JSON.stringify(config), changeId: '' };
};

const frontMember = (id: string): Member =>
  Member.parse({ id, kind: 'front', addr: `${id}:1`, http: '', zone: '', data: `${id}:2` });

/** A state with two fronts, all slots of which belong to `owner`, and one server a pool. */
export const stateFor = (owner: string, more: Partial<State> = {}): State => {
  const state = bootstrapState('cluster', [], 8);
  const servers = ['models', 'shop'].map((pool) =>
    Server.parse({ id: pool, pool, url: 'http://127.0.0.1:1', draining: false, down: false }),
  );
  return {
    ...state,
    config: configRecord('config'),
    nodes: new Map(['f', 'g', 'h'].map((id) => [id, frontMember(id)])),
    servers: new Map(servers.map((server) => [server.id, server])),
    slots: state.slots.map((slot) => ({ ...slot, owner })),
    ...more,
  };
};

/** The entries of a state, as an agent feeds them. */
export const entriesOf = (state: State): readonly (readonly [string, string])[] => [
  ...encodeState(state),
];

export const heartbeatInterval = 200;
export const readLease = 1000;

/** A front `f` that knows no state yet. */
export const createFrontFixture = (play: PassBehavior = () => new Promise(() => undefined)) => {
  const clock = new SimClock();
  const transport = new ScriptedTransport();
  const sent: ForwardedRequest[] = [];
  const parts: FrontOptions = {
    id: 'f',
    clock,
    transport,
    backend: {
      pass: (_server, passing, sink, gone) => {
        sent.push(passing);
        return play(passing, sink, gone);
      },
      act: () => Promise.resolve({ kind: 'lost', text: 'lost' }),
      generate: () => Promise.resolve({ kind: 'lost', text: 'lost' }),
      load: () => Promise.resolve({ busy: 0, draining: false }),
    },
    log: silentLogger,
    affinity: false,
    bounds: {
      heartbeatInterval,
      putTimeoutMs: 1000,
      readLease,
      pollIntervalMs: 0,
      retentionMs: 1e6,
      stopWithin: 1000,
    },
  };
  const front = new Front(parts);
  /** Takes a state and a lease, as from an agent in touch with a master. */
  const take = (state: State): void => {
    front.owner.applyState(state);
    front.owner.renewLease(clock.now());
  };
  return { clock, transport, parts, front, sent, take };
};
