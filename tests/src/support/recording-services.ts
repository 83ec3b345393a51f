/** Scripted services that record idempotency keys: the servers of a pool share one table, other pools do not know it. */
import { lostReply, type SentRequest, type ServerReply } from './session-owner-fixture.js';

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
