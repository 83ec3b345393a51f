/**
 * Scripted services that record idempotency keys, and requests with a key to them. The servers of a pool share one table
 * of keys, which other pools do not know.
 */
import * as assert from 'uvu/assert';
import {
  decodeBody,
  encodeBody,
  ForwardedResponse,
  opKeyOf,
  type CallOutcome,
} from '@tillerstair/session-owner';
import {
  lostReply,
  SessionOwnerFixture,
  textOf,
  type SentRequest,
  type ServerReply,
} from './session-owner-fixture.js';
import { configuration, host } from './session-owner-state.js';

/** How a service's answer to a request gets lost; `undefined` if it arrives. */
export type Loss = (run: number) => ServerReply | undefined;

/** The service of each server of a `SessionOwnerFixture` that records keys. */
const serviceOf: Readonly<Record<string, string>> = {
  k1: 'memo',
  k2: 'memo',
  l1: 'ledger',
  l2: 'ledger',
};

/** Both services. Each runs an operation that its own table does not have, and answers others from the table. */
export class RecordingServices {
  /** The service of each run, in order: an operation that ran twice has two entries. */
  readonly runs: string[] = [];
  private readonly answers = new Map<string, ServerReply>();

  /** `loss` is asked once for each run, numbered from 0, after the service has run the operation. */
  constructor(private readonly loss: Loss = (run) => (run === 0 ? lostReply : undefined)) {}

  /** The reply to a request, as `SessionOwnerFixture.reply` expects it. */
  readonly reply = (_index: number, { server }: SentRequest): ServerReply => {
    const service = serviceOf[server] ?? server;
    const recorded = this.answers.get(service);
    if (recorded) return recorded;
    const run = this.runs.push(service) - 1;
    const answer: ServerReply = {
      ended: { kind: 'done', code: 200, body: null },
      bytes: [`run ${run} at ${service}`],
    };
    this.answers.set(service, answer);
    return this.loss(run) ?? answer;
  };
}

const neverAborted = new AbortController().signal;
/** The key of the record of an operation with the idempotency key `k`. */
export const recordKey = opKeyOf('t', 'k');
/** The outcome of an operation that may have run, as `textOf` tells it. */
export const unknownOutcome = 'unknown 504 unknown';

/** Sends a request to the front, as one try of a client; by default with the key `k`. */
export const send = (
  fixture: SessionOwnerFixture,
  { path = '/split/', left = 8000, key = 'k' }: { path?: string; left?: number; key?: string } = {},
): Promise<CallOutcome> =>
  fixture.owner.calls.runPass(
    {
      tenant: 't',
      host,
      method: 'POST',
      path,
      headers: [],
      attempt: 'r1',
      key,
      left,
      program: '',
      budget: null,
      most: 0,
      parts: [],
      after: '',
      resume: '',
      body: encodeBody(Buffer.from('b')),
    },
    neverAborted,
  );

/** What a caller sees: the text of the service's answer, or the kind of outcome. */
export const answerOf = (outcome: CallOutcome): string => {
  const response = ForwardedResponse.safeParse(outcome.body);
  return response.success ? decodeBody(response.data.body).toString('latin1') : textOf(outcome);
};

/** Sends a request and advances the time until its outcome; returns what the caller sees. */
export const sendAndWait = async (
  fixture: SessionOwnerFixture,
  options: { path?: string; left?: number } = {},
): Promise<string> => answerOf(await fixture.finish(send(fixture, options)));

/** The configuration with other shares for the route of `/split/`, or with other pools. */
export const configurationWith = (
  shares: Readonly<Record<string, number>>,
  recordingPools: readonly string[] = ['memo', 'ledger'],
): object => ({
  ...configuration,
  pools: configuration.pools.map((pool) =>
    pool.kind === 'service' ? { ...pool, remembersKeys: recordingPools.includes(pool.name) } : pool,
  ),
  routes: configuration.routes.map((route) =>
    route.name === 'pass-split'
      ? { ...route, shares: Object.entries(shares).map(([pool, share]) => ({ pool, share })) }
      : route,
  ),
});

/** A fixture whose first try with the key ran at a service and was lost on both of its attempts. */
export const afterLostTry = async (
  first: Readonly<Record<string, number>> = { memo: 1, ledger: 1 },
): Promise<readonly [SessionOwnerFixture, RecordingServices]> => {
  const fixture = await SessionOwnerFixture.opened();
  fixture.configure(configurationWith(first));
  const recording = new RecordingServices();
  fixture.reply = (index, sent) => {
    recording.reply(index, sent);
    return lostReply;
  };
  assert.is(await sendAndWait(fixture), unknownOutcome);
  fixture.reply = recording.reply;
  return [fixture, recording];
};
