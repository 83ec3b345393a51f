import type { PassRecord } from '@tillerstair/checker';
import { passOn } from '@tillerstair/proxy';
import { packed, unpacked, Passed, type PassAsk, type Verdict } from '@tillerstair/steward';
import { mishapOf } from '@tillerstair/wire';
import type { Machine } from './machine.js';
import type { World } from './world.js';

export interface PassWish {
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

/** Lanes of every manner at `passHost`, for tests and storms; `turnPools` answer in streams. */
export const passLanes = (turnPools: readonly string[], callPool: string, deadlineMs = 8000): readonly object[] => {
  const lane = (name: string, pass: object, pools: readonly string[]): object => ({
    name: `pass-${name}`, match: { kind: 'pass', host: passHost, path: `/${name}/` }, pass: { deadlineMs, ...pass }, shares: pools.map((pool) => ({ pool, share: 1 })),
  });
  return [
    lane('keyed', { manner: 'keyed', tries: 2 }, [callPool]),
    lane('once', { manner: 'once', tries: 2 }, [callPool]),
    lane('again', { manner: 'repeatable', tries: 2 }, [callPool]),
    lane('turn', { manner: 'stream', tries: 2, keptMs: 60000 }, turnPools),
    lane('flow', { manner: 'stream', tries: 2 }, turnPools),
    lane('live', { manner: 'stream', tries: 4, resumable: true }, turnPools),
  ];
};

const mannerOf = (path: string): PassRecord['manner'] => {
  const name = path.split('/')[1];
  return name === 'keyed' || name === 'own' ? 'keyed' : name === 'once' ? 'once' : name === 'again' ? 'repeatable' : 'stream';
};

const askOf = (w: World, wish: PassWish): PassAsk => {
  const { path, key = '', program = '', budget = null, most = 10 } = wish;
  const attempt = wish.attempt ?? `r${w.freshId()}`;
  const streamed = mannerOf(path) === 'stream';
  const headers: [string, string][] = [['x-request-id', attempt]];
  if (key !== '') headers.push(['operation-key', key]);
  if (program !== '') headers.push(['x-program', program]);
  if (streamed) headers.push(['x-tokens', `10,${most}`]);
  return {
    tenant: 't', host: passHost, method: 'POST', path, headers, body: packed(Buffer.from(wish.body ?? '', 'latin1')), attempt, key, left: wish.left ?? 8000, program, budget, most,
    parts: wish.parts ?? [], after: wish.after ?? '', resume: wish.resume ?? '',
  };
};

/** Sends a request on a pass lane as a caller would, and records what the caller was told. */
export const passAt = async (w: World, wish: PassWish, at?: Machine): Promise<PassRecord> => {
  const ask = askOf(w, wish);
  const from = w.clock.now();
  let got = '';
  let begun = false;
  const v = await w.inquire(
    at,
    (front, emit, gone) =>
      passOn(front, ask, emit, wish.leaves ? AbortSignal.any([gone, wish.leaves]) : gone).catch((e: unknown): Verdict => {
        const m = mishapOf(e);
        return { verdict: m.code === 'not-ready' ? 'refused' : 'unknown', status: 503, mishap: m.code };
      }),
    (n, text) => {
      if (n === 0) begun = true;
      else got += text;
    },
  );
  const whole = Passed.safeParse(v.body);
  const row: PassRecord = {
    manner: mannerOf(ask.path), path: ask.path, resumable: ask.path.startsWith('/live/'), key: ask.key, attempt: ask.attempt, program: ask.program, budget: ask.budget,
    most: ask.most, after: ask.after, input: wish.body ?? '', from, to: w.clock.now(), told: v.verdict === 'done' ? 'done' : begun && got !== '' ? 'partial' : v.verdict,
    status: whole.success ? whole.data.status : v.verdict === 'done' ? 200 : v.status, mishap: v.mishap ?? '', retryAfter: v.retryAfter ?? 0,
    body: whole.success ? unpacked(whole.data.body).toString('latin1') : got,
  };
  w.passes.push(row);
  return row;
};
