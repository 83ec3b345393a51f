/** A front on a simulated clock, with a scripted transport and scripted servers. */
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

/** A call recorded by `ScriptedTransport`. */
export interface RecordedCall {
  readonly to: string;
  readonly kind: string;
  readonly body: unknown;
  readonly bounds: CallOptions;
}

/** A transport that records calls and replies with the result of `answer`. */
export class ScriptedTransport implements Transport {
  readonly self = '10.0.0.1:1';
  readonly calls: RecordedCall[] = [];
  handler: RequestHandler | undefined;
  answer: (call: RecordedCall) => Promise<unknown> = () => new Promise(() => undefined);

  call(to: string, kind: string, body: unknown, bounds: CallOptions): Promise<unknown> {
    const recordedCall = { to, kind, body, bounds };
    this.calls.push(recordedCall);
    return this.answer(recordedCall);
  }

  serve(handler: RequestHandler): Promise<void> {
    this.handler = handler;
    return Promise.resolve();
  }

  onConnectionLost(): void {
    // No test uses this notification.
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Behavior of the servers for a request on a pass route. */
export type PassBehavior = (
  request: ForwardedRequest,
  sink: ResponseSink,
  signal: AbortSignal,
) => Promise<BackendOutcome>;

const configRecord = (origin: string): ConfigRecord => {
  const text = JSON.stringify({
    base: 0,
    pools: [
      { name: 'models', kind: 'model' },
      { name: 'shop', kind: 'service' },
    ],
    routes: passRoutes(['models'], 'shop', 800),
    budgets: { program: 1000, turn: 16 },
    origin,
  });
  const { config } = checkConfig(text);
  return { version: 1, text, digest: origin, compiled: JSON.stringify(config), changeId: '' };
};

const frontMember = (id: string): Member =>
  Member.parse({ id, kind: 'front', addr: `${id}:1`, http: '', zone: '', data: `${id}:2` });

/** A state with fronts `f`, `g` and `h`, whose slots all belong to `owner`, and with one server per pool. */
export const stateFor = (owner: string, overrides: Partial<State> = {}): State => {
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
    ...overrides,
  };
};

/** The entries of a state as they appear in an agent's feed. */
export const entriesOf = (state: State): readonly (readonly [string, string])[] => [
  ...encodeState(state),
];

/** Heartbeat interval of the front, in ms. */
export const heartbeatInterval = 200;
/** Duration of the front's read lease, in ms. */
export const readLease = 1000;

/** Creates front `f`, which has no cluster state yet; `behavior` is that of its servers on pass routes. */
export const createFrontFixture = (behavior: PassBehavior = () => new Promise(() => undefined)) => {
  const clock = new SimClock();
  const transport = new ScriptedTransport();
  const sent: ForwardedRequest[] = [];
  const options: FrontOptions = {
    id: 'f',
    clock,
    transport,
    backend: {
      pass: (_server, request, sink, signal) => {
        sent.push(request);
        return behavior(request, sink, signal);
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
  const front = new Front(options);
  /** Applies a state and renews the lease, like a feed from an agent that is connected to a master. */
  const applyWithLease = (state: State): void => {
    front.owner.applyState(state);
    front.owner.renewLease(clock.now());
  };
  return { clock, transport, parts: options, front, sent, applyWithLease };
};
