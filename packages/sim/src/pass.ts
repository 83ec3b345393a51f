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

export interface PassSpec {
  readonly path: string;
  readonly body?: string;
  readonly key?: string;
  readonly attempt?: string;
  readonly program?: string;
  readonly budget?: number;
  readonly most?: number;
  readonly after?: string;
  readonly resume?: string;
  readonly left?: number;
  /** When the caller goes away. */
  readonly leaves?: AbortSignal;
  readonly parts?: [string, number][];
}

export const passHost = 'a.example';

/** Routes of every manner at `passHost`, for tests and storms; `turnPools` answer in streams. */
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

const mannerOf = (path: string): PassRecord['manner'] => {
  const name = path.split('/')[1];
  return name === 'keyed' || name === 'own'
    ? 'keyed'
    : name === 'once'
      ? 'once'
      : name === 'again'
        ? 'repeatable'
        : 'stream';
};

const askOf = (w: World, spec: PassSpec): PassRequest => {
  const { path, key = '', program = '', budget = null, most = 10 } = spec;
  const attempt = spec.attempt ?? `r${w.freshId()}`;
  const streamed = mannerOf(path) === 'stream';
  const headers: [string, string][] = [['x-request-id', attempt]];
  if (key !== '') headers.push(['operation-key', key]);
  if (program !== '') headers.push(['x-program', program]);
  if (streamed) headers.push(['x-tokens', `10,${most}`]);
  return {
    tenant: 't',
    host: passHost,
    method: 'POST',
    path,
    headers,
    body: encodeBody(Buffer.from(spec.body ?? '', 'latin1')),
    attempt,
    key,
    left: spec.left ?? 8000,
    program,
    budget,
    most,
    parts: spec.parts ?? [],
    after: spec.after ?? '',
    resume: spec.resume ?? '',
  };
};

/** Sends a request on a pass route as a caller would, and records what the caller was told. */
export const passAt = async (w: World, spec: PassSpec, at?: Machine): Promise<PassRecord> => {
  const ask = askOf(w, spec);
  const from = w.clock.now();
  let got = '';
  let begun = false;
  const v = await w.sendAsCaller(
    at,
    (front, emit, gone) =>
      routePassRequest(front, ask, emit, spec.leaves ? AbortSignal.any([gone, spec.leaves]) : gone).catch(
        (e: unknown): CallOutcome => {
          const m = toRpcError(e);
          return {
            outcome: m.code === 'not-ready' ? 'refused' : 'unknown',
            status: 503,
            errorCode: m.code,
          };
        },
      ),
    (n, text) => {
      if (n === 0) begun = true;
      else got += text;
    },
  );
  const whole = ForwardedResponse.safeParse(v.body);
  const row: PassRecord = {
    manner: mannerOf(ask.path),
    path: ask.path,
    resumable: ask.path.startsWith('/live/'),
    key: ask.key,
    attempt: ask.attempt,
    program: ask.program,
    budget: ask.budget,
    most: ask.most,
    after: ask.after,
    input: spec.body ?? '',
    from,
    to: w.clock.now(),
    reported: v.outcome === 'done' ? 'done' : begun && got !== '' ? 'partial' : v.outcome,
    status: whole.success ? whole.data.status : v.outcome === 'done' ? 200 : v.status,
    errorCode: v.errorCode ?? '',
    retryAfter: v.retryAfter ?? 0,
    body: whole.success ? decodeBody(whole.data.body).toString('latin1') : got,
  };
  w.passes.push(row);
  return row;
};
