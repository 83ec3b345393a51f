/** Execution of requests on pass routes by simulated servers: the content of a response, and where it breaks off. */
import type { ForwardedRequest, ResponseHead, ResponseSink } from '@tillerstair/session-owner';
import { slotForKey } from '@tillerstair/state';
import { delay, type Clock } from '@tillerstair/wire';
import { isEveryNth, type ServerFaults } from './server-faults.js';
import type { Incarnation } from './incarnation.js';

/** The record of a request that a server executed, and the head of its response. */
export interface PassExecution {
  readonly head: ResponseHead;
  readonly key: string;
  readonly program: string;
  /** The bytes of the response, up to where it ended or broke off. */
  readonly reply: string;
  readonly complete: boolean;
  readonly tokens: number;
}

/** The server that executes one request, and the front that receives the response. */
export interface PassServer {
  readonly by: string;
  /** Number of the request, counted over all servers. */
  readonly number: number;
  readonly faults: ServerFaults;
  readonly clock: Clock;
  readonly rng: () => number;
  readonly incarnation: Incarnation;
  /** Aborted when the front cancels the request. */
  readonly signal: AbortSignal;
}

const allBytes = Array.from({ length: 256 }, (_, i) => String.fromCharCode(i))
  .filter((c) => c !== '\n' && c !== '\r')
  .join('');

const minEvents = 4;
const eventCountChoices = 6;
const msPerEvent = 5;
const minCallMs = 10;
const callRangeMs = 30;

/** Number of events in the response to an attempt; the same at every server. */
export const eventsIn = (attempt: string): number =>
  minEvents + slotForKey(attempt, eventCountChoices);

/** The value of a request's header; empty if the request does not have it. */
export const headerOf = (request: ForwardedRequest, name: string): string =>
  request.headers.find(([key]) => key === name)?.[1] ?? '';

/** The parts of a response, by number: from `first` up to, not including, `total`; a fault that is off has part -1. */
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

/** The text of one event, or of a response without events; some streams end with an extra empty line. */
const partText = (server: PassServer, { streamed, total }: ResponsePlan, part: number): string => {
  const data = `${server.by}.${server.number}.${part} ${part === 1 ? allBytes : ''}`;
  if (!streamed) return `${data}${allBytes}\r\n`;
  const extraLine = part === total - 1 && total % 2 === 1 ? '\n' : '';
  return `id: ${part}\ndata: ${data}\n\n${extraLine}`;
};

const partMsOf = ({ streamed }: ResponsePlan, rng: () => number): number =>
  streamed ? msPerEvent : minCallMs + rng() * callRangeMs;

const headOf = ({ streamed }: ResponsePlan, faults: ServerFaults): ResponseHead => ({
  status: faults.fails && !streamed ? 500 : 200,
  headers: [['content-type', streamed ? 'text/event-stream' : 'application/json']],
});

/** Executes a request and sends its response in chunks split at random bytes; resolves once it ends or breaks off. */
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
  const head = headOf(plan, faults);
  send(() => sink.head(head));
  let reply = '';
  let part = plan.first;
  for (; part < total; part++) {
    await delay(clock, partMsOf(plan, rng) * faults.slow);
    if ((streamed && signal.aborted) || incarnation.dead) break;
    const text = partText(server, plan, part);
    const splitAt = Math.floor(rng() * text.length);
    if (part === plan.failsAt) break;
    if (part === plan.cutAt) {
      if (faults.cutsInsideEvent || !streamed) send(() => sink.bytes(text.slice(0, splitAt)));
      break;
    }
    reply += text;
    send(() => sink.bytes(text.slice(0, splitAt)));
    send(() => sink.bytes(text.slice(splitAt)));
  }
  return {
    head,
    key: headerOf(request, 'operation-key'),
    program: headerOf(request, 'x-program'),
    reply,
    complete: part >= total,
    tokens: streamed ? part - plan.first : 0,
  };
};
