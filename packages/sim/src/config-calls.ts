/** Operators' calls on the configuration, recorded for the check of their history. */
import type { ConfigAnswer, ConfigCall } from '@tillerstair/checker';
import type { OperatorRequest, OperatorResponse } from '@tillerstair/control';
import { configDigest } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import { z } from 'zod';

/** Sends an operation to some control; undefined is no answer at all. */
export type SendOperation = (o: OperatorRequest) => Promise<OperatorResponse | undefined>;

const Change = z.object({ base: z.number(), version: z.number().optional() });
const Value = z.object({ version: z.number(), text: z.string() });

const answerToChange = (status: number): ConfigAnswer => {
  if (status === 200) return { kind: 'accepted' };
  if (status === 409 || status === 412) return { kind: 'refused' };
  return status === 503 || status === 400 || status === 422
    ? { kind: 'no-effect' }
    : { kind: 'unclear' };
};

const answerToRead = (o: OperatorResponse | undefined): ConfigAnswer => {
  if (o?.status === 404) return { kind: 'value', version: 0, content: '' };
  const got = Value.safeParse(o?.status === 200 ? o.body : undefined);
  return got.success
    ? { kind: 'value', version: got.data.version, content: configDigest(got.data.text) }
    : { kind: 'no-effect' };
};

/** Sends operators' calls on the configuration and keeps them, with their answers, for the check of the history. */
export class ConfigCalls {
  private readonly rows: ConfigCall[] = [];

  constructor(private readonly clock: Clock) {}

  get calls(): readonly ConfigCall[] {
    return this.rows;
  }

  /** Keeps a call as unanswered until its answer comes. */
  async record<T>(
    what: ConfigCall['what'],
    send: () => Promise<T>,
    answerOf: (got: T) => ConfigAnswer,
  ): Promise<T> {
    const row: ConfigCall = {
      what,
      calledAt: this.clock.now(),
      answeredAt: Infinity,
      answer: { kind: 'unclear' },
    };
    const at = this.rows.push(row) - 1;
    const got = await send();
    this.rows[at] = { ...row, answeredAt: this.clock.now(), answer: answerOf(got) };
    return got;
  }

  put(text: string, send: SendOperation): Promise<OperatorResponse | undefined> {
    const { base, version = base + 1 } = Change.parse(JSON.parse(text));
    const digest = configDigest(text);
    const what = { kind: 'change' as const, changeId: digest, base, version, content: digest };
    return this.record(
      what,
      () => send({ method: 'PUT', path: '/v1/config', body: text }),
      (o) => answerToChange(o?.status ?? 0),
    );
  }

  read(send: SendOperation): Promise<OperatorResponse | undefined> {
    return this.record(
      { kind: 'read' },
      () => send({ method: 'GET', path: '/v1/config', body: '' }),
      answerToRead,
    );
  }
}
