/** Pass routes for storms and tests, and the callers that send requests to them. */
import type { PassRecord } from '@tillerstair/checker';
import { routePassRequest } from '@tillerstair/proxy';
import {
  encodeBody,
  decodeBody,
  ForwardedResponse,
  type PassRequest,
  type CallOutcome,
} from '@tillerstair/session-owner';
import { toRpcError } from '@tillerstair/wire';
import type { Machine } from './machine.js';
import type { World } from './world.js';

/** A request on a pass route; fields that are left out get defaults that fit the route. */
export interface PassSpec {
  readonly path: string;
  readonly body?: string;
  readonly key?: string;
  readonly attempt?: string;
  readonly program?: string;
  readonly budget?: number;
  /** Limit of the output tokens. */
  readonly most?: number;
  readonly after?: string;
  readonly resume?: string;
  readonly deadlineMs?: number;
  /** Aborted when the caller disconnects. */
  readonly cancelled?: AbortSignal;
  readonly parts?: [string, number][];
}

/** Host name of the pass routes. */
export const passHost = 'a.example';

/** Routes of every manner at `passHost`, for tests and storms; `turnPools` serve the streaming ones. */
export const passRoutes = (
  turnPools: readonly string[],
  callPool: string,
  deadlineMs = 8000,
): readonly object[] => {
  const route = (name: string, pass: object, pools: readonly string[]): object => ({
    name: `pass-${name}`,
    match: { kind: 'pass', host: passHost, path: `/${name}/` },
    pass: { deadlineMs, ...pass },
    shares: pools.map((pool) => ({ pool, share: 1 })),
  });
  return [
    route('keyed', { manner: 'keyed', tries: 2 }, [callPool]),
    route('once', { manner: 'once', tries: 2 }, [callPool]),
    route('again', { manner: 'repeatable', tries: 2 }, [callPool]),
    route('turn', { manner: 'stream', tries: 2, turnRetentionMs: 60000 }, turnPools),
    route('flow', { manner: 'stream', tries: 2 }, turnPools),
    route('live', { manner: 'stream', tries: 4, resumable: true }, turnPools),
  ];
};

/** The share of each pool in a route. */
type PoolShares = Readonly<Record<string, number>>;

/** The shares of a route that always leads to both services that record keys. */
const splitShares = (variant: number): PoolShares => ({
  memo: 1 + (variant % 3),
  ledger: 1 + ((variant + 1) % 4),
});

const movedShares: readonly PoolShares[] = [{ memo: 1 }, { ledger: 1 }, { memo: 1, ledger: 1 }];

/** The shares of a route that moves from one of these services to the other and back. */
const sharesOfMovedRoute = (variant: number): PoolShares =>
  movedShares[variant % movedShares.length] ?? { memo: 1 };

const recordingRoute = (name: string, shares: PoolShares, deadlineMs: number): object => ({
  name: `pass-${name}`,
  match: { kind: 'pass', host: passHost, path: `/${name}/` },
  pass: { manner: 'keyed', tries: 2, deadlineMs },
  shares: Object.entries(shares).map(([pool, share]) => ({ pool, share })),
});

/** Keyed routes over the two services that record keys: one always leads to both, the other moves between them. */
export const keyedSplitRoutes = (variant: number, deadlineMs = 8000): readonly object[] => [
  recordingRoute('own', splitShares(variant), deadlineMs),
  recordingRoute('moved', sharesOfMovedRoute(variant), deadlineMs),
];

const manners: ReadonlyMap<string, PassRecord['manner']> = new Map([
  ['keyed', 'keyed'],
  ['own', 'keyed'],
  ['moved', 'keyed'],
  ['once', 'once'],
  ['again', 'repeatable'],
]);

const mannerOf = (path: string): PassRecord['manner'] =>
  manners.get(path.split('/').at(1) ?? '') ?? 'stream';

const defaultMaxTokens = 10;
const defaultDeadlineMs = 8000;
const promptTokens = 10;

type Headers = PassRequest['headers'];

const headersOf = (spec: PassSpec, attempt: string, most: number): Headers => {
  const { path, key = '', program = '' } = spec;
  const headers: [string, string][] = [['x-request-id', attempt]];
  if (key !== '') headers.push(['operation-key', key]);
  if (program !== '') headers.push(['x-program', program]);
  if (mannerOf(path) === 'stream') headers.push(['x-tokens', `${promptTokens},${most}`]);
  return headers;
};

/** A turn's position in its conversation, and the event to resume a stream from. */
const positionOf = ({
  parts = [],
  after = '',
  resume = '',
}: PassSpec): Pick<PassRequest, 'parts' | 'after' | 'resume'> => ({ parts, after, resume });

const requestOf = (world: World, spec: PassSpec): PassRequest => {
  const { path, key = '', program = '', budget = null, most = defaultMaxTokens } = spec;
  const attempt = spec.attempt ?? `r${world.freshId()}`;
  return {
    tenant: 't',
    host: passHost,
    method: 'POST',
    path,
    headers: headersOf(spec, attempt, most),
    body: encodeBody(Buffer.from(spec.body ?? '', 'latin1')),
    attempt,
    key,
    left: spec.deadlineMs ?? defaultDeadlineMs,
    program,
    budget,
    most,
    ...positionOf(spec),
  };
};

const outcomeOfError = (error: unknown): CallOutcome => {
  const { code } = toRpcError(error);
  return { outcome: code === 'not-ready' ? 'refused' : 'unknown', status: 503, errorCode: code };
};

/** The parts of a response that a caller has received. */
class ReceivedBody {
  text = '';
  private hasHead = false;

  /** Adds a part; the part with index 0 is the head. */
  add(index: number, text: string): void {
    if (index === 0) this.hasHead = true;
    else this.text += text;
  }

  get isPartial(): boolean {
    return this.hasHead && this.text !== '';
  }
}

const reportedOf = ({ outcome }: CallOutcome, received: ReceivedBody): PassRecord['reported'] =>
  outcome !== 'done' && received.isPartial ? 'partial' : outcome;

/** Status and body of a response: of a complete one from the outcome, else of the parts that were received. */
const responseOf = (
  outcome: CallOutcome,
  received: ReceivedBody,
): Pick<PassRecord, 'status' | 'body'> => {
  const response = ForwardedResponse.safeParse(outcome.body).data;
  if (response)
    return { status: response.status, body: decodeBody(response.body).toString('latin1') };
  return { status: outcome.outcome === 'done' ? 200 : outcome.status, body: received.text };
};

/** Sends a request on a pass route like a caller, to the front `at` or a random one, and records the outcome. */
export const passAt = async (world: World, spec: PassSpec, at?: Machine): Promise<PassRecord> => {
  const request = requestOf(world, spec);
  const from = world.clock.now();
  const received = new ReceivedBody();
  const outcome = await world.sendAsCaller(
    at,
    (front, emit, timeout) => {
      const signal = spec.cancelled ? AbortSignal.any([timeout, spec.cancelled]) : timeout;
      return routePassRequest(front, request, emit, signal).catch(outcomeOfError);
    },
    (index, text) => received.add(index, text),
  );
  const record: PassRecord = {
    manner: mannerOf(request.path),
    path: request.path,
    resumable: request.path.startsWith('/live/'),
    key: request.key,
    attempt: request.attempt,
    program: request.program,
    budget: request.budget,
    most: request.most,
    after: request.after,
    input: spec.body ?? '',
    from,
    to: world.clock.now(),
    reported: reportedOf(outcome, received),
    errorCode: outcome.errorCode ?? '',
    retryAfter: outcome.retryAfter ?? 0,
    ...responseOf(outcome, received),
  };
  world.passes.push(record);
  return record;
};
