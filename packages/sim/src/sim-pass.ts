import type { ForwardedRequest, ResponseSink } from '@tillerstair/session-owner';
import { slotForKey } from '@tillerstair/state';
import { delay, type Clock } from '@tillerstair/wire';
import type { Life } from './sim-clock.js';

export interface Passed {
  readonly key: string;
  readonly program: string;
  /** The bytes made, as far as the answer went. */
  readonly reply: string;
  readonly complete: boolean;
  readonly tokens: number;
}

export interface PassBy {
  readonly by: string;
  readonly nth: number;
  readonly faults: {
    readonly loseEvery: number;
    readonly cutEvery: number;
    readonly slow: number;
    readonly tears: boolean;
    readonly lies: boolean;
    readonly errs: boolean;
  };
  readonly clock: Clock;
  readonly rng: () => number;
  readonly life: Life;
  readonly gone: AbortSignal;
}

const allBytes = Array.from({ length: 256 }, (_, i) => String.fromCharCode(i))
  .filter((c) => c !== '\n' && c !== '\r')
  .join('');

/** How many events the answer to a try has, whichever server makes it. */
export const eventsIn = (attempt: string): number => 4 + slotForKey(attempt, 6);

export const passRun = async (
  x: PassBy,
  p: ForwardedRequest,
  sink: ResponseSink,
): Promise<Passed> => {
  const word = (name: string): string => p.headers.find(([k]) => k === name)?.[1] ?? '';
  const streamed = word('x-tokens') !== '';
  const { faults, life, clock, rng, gone } = x;
  const from = p.resume === '' ? 0 : Number(p.resume) + 1;
  const total = streamed ? eventsIn(p.attempt) : 1;
  const failsAt = faults.errs && streamed ? from : -1;
  const cutAt =
    faults.cutEvery > 0 && x.nth % faults.cutEvery === 0 ? Math.floor((from + total) / 2) : -1;
  const say = (text: string): void => {
    if (!faults.lies) life.do(() => sink.bytes(text));
  };
  if (!faults.lies)
    life.do(() =>
      sink.head({
        status: faults.errs && !streamed ? 500 : 200,
        headers: [['content-type', streamed ? 'text/event-stream' : 'application/json']],
      }),
    );
  let reply = '';
  let n = from;
  for (; n < total; n++) {
    await delay(clock, (streamed ? 5 : 10 + rng() * 30) * faults.slow);
    if ((streamed && gone.aborted) || life.dead) break;
    const data = `${x.by}.${x.nth}.${n} ${n === 1 ? allBytes : ''}`;
    const tail = n === total - 1 && total % 2 === 1 ? '\n' : '';
    const text = streamed ? `id: ${n}\ndata: ${data}\n\n${tail}` : `${data}${allBytes}\r\n`;
    const at = Math.floor(rng() * text.length);
    if (n === failsAt) break;
    if (n === cutAt) {
      if (faults.tears || !streamed) say(text.slice(0, at));
      break;
    }
    reply += text;
    say(text.slice(0, at));
    say(text.slice(at));
  }
  return {
    key: word('operation-key'),
    program: word('x-program'),
    reply,
    complete: n >= total,
    tokens: streamed ? n - from : 0,
  };
};
