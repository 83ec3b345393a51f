/** How a simulated server executes a request of a pass route: what its response contains, and where it breaks off. */
import type { ForwardedRequest, ResponseHead, ResponseSink } from '@tillerstair/session-owner';
import { slotForKey } from '@tillerstair/state';
import { delay, type Clock } from '@tillerstair/wire';
import { isEveryNth, type ServerFaults } from './server-faults.js';
import type { Incarnation } from './incarnation.js';

/** What a server has of a request after it ended. */
export interface PassExecution {
  readonly key: string;
  readonly program: string;
  /** The bytes made, as far as the response went. */
  readonly reply: string;
  readonly complete: boolean;
  readonly tokens: number;
}

/** The server that executes one request, and who listens to its response. */
export interface PassServer {
  readonly by: string;
  /** The request's number among those of all servers. */
  readonly number: number;
  readonly faults: ServerFaults;
  readonly clock: Clock;
  readonly rng: () => number;
  readonly incarnation: Incarnation;
  /** Aborted when the front gives the request up. */
  readonly signal: AbortSignal;
}

const allBytes = Array.from({ length: 256 }, (_, i) => String.fromCharCode(i))
  .filter((c) => c !== '\n' && c !== '\r')
  .join('');

const fewestEvents = 4;
const eventCounts = 6;
const msPerEvent = 5;
const shortestCallMs = 10;
const callRangeMs = 30;

/** How many events the response to an attempt has, whichever server makes it. */
export const eventsIn = (attempt: string): number =>
  fewestEvents + slotForKey(attempt, eventCounts);

const headerOf = (request: ForwardedRequest, name: string): string =>
  request.headers.find(([key]) => key === name)?.[1] ?? '';

/** Which parts of a response are made, by their numbers; -1 where a fault does not strike. */
interface ResponsePlan {
  readonly streamed: boolean;
  readonly first: number;
  readonly total: number;
  readonly failsAt: number;
  readonly cutAt: number;
}

const planOf = ({ number, faults }: PassServer, request: ForwardedRequest): ResponsePlan => {
  const streamed = headerOf(request, 'x-tokens') !== '';
  const first = request.resume === '' ? 0 : Number(request.resume) + 1;
  const total = streamed ? eventsIn(request.attempt) : 1;
  return {
    streamed,
    first,
    total,
    failsAt: faults.fails && streamed ? first : -1,
    cutAt: isEveryNth(faults.cutEvery, number) ? Math.floor((first + total) / 2) : -1,
  };
};

/** One event, or the body of a response without events; some streams end in an empty line more than they need. */
const partText = (server: PassServer, { streamed, total }: ResponsePlan, n: number): string => {
  const data = `${server.by}.${server.number}.${n} ${n === 1 ? allBytes : ''}`;
  if (!streamed) return `${data}${allBytes}\r\n`;
  const tail = n === total - 1 && total % 2 === 1 ? '\n' : '';
  return `id: ${n}\ndata: ${data}\n\n${tail}`;
};

const partMsOf = ({ streamed }: ResponsePlan, rng: () => number): number =>
  streamed ? msPerEvent : shortestCallMs + rng() * callRangeMs;

const headOf = ({ streamed }: ResponsePlan, faults: ServerFaults): ResponseHead => ({
  status: faults.fails && !streamed ? 500 : 200,
  headers: [['content-type', streamed ? 'text/event-stream' : 'application/json']],
});

/** Executes a request and sends its response in pieces that end at any byte; resolves when it ended or broke off. */
export const executePass = async (
  server: PassServer,
  request: ForwardedRequest,
  sink: ResponseSink,
): Promise<PassExecution> => {
  const plan = planOf(server, request);
  const { streamed, total } = plan;
  const { faults, incarnation, clock, rng, signal } = server;
  const send = (action: () => void): void => {
    if (!faults.namesOtherAttempt) incarnation.do(action);
  };
  send(() => sink.head(headOf(plan, faults)));
  let reply = '';
  let n = plan.first;
  for (; n < total; n++) {
    await delay(clock, partMsOf(plan, rng) * faults.slow);
    if ((streamed && signal.aborted) || incarnation.dead) break;
    const text = partText(server, plan, n);
    const splitAt = Math.floor(rng() * text.length);
    if (n === plan.failsAt) break;
    if (n === plan.cutAt) {
      if (faults.cutsInsideEvent || !streamed) send(() => sink.bytes(text.slice(0, splitAt)));
      break;
    }
    reply += text;
    send(() => sink.bytes(text.slice(0, splitAt)));
    send(() => sink.bytes(text.slice(splitAt)));
  }
  return {
    key: headerOf(request, 'operation-key'),
    program: headerOf(request, 'x-program'),
    reply,
    complete: n >= total,
    tokens: streamed ? n - plan.first : 0,
  };
};
