/** Operators' calls to the configuration interface, recorded for the checker. */
import type { ConfigAnswer, ConfigCall } from '@tillerstair/checker';
import type { OperatorRequest, OperatorResponse } from '@tillerstair/control';
import { configDigest } from '@tillerstair/state';
import type { Clock } from '@tillerstair/wire';
import { z } from 'zod';

/** Sends an operation to some control; resolves with undefined if there is no answer. */
export type SendOperation = (request: OperatorRequest) => Promise<OperatorResponse | undefined>;

const Change = z.object({ base: z.number(), version: z.number().optional() });
const Value = z.object({ version: z.number(), text: z.string() });

const answerToChange = (status: number): ConfigAnswer => {
  if (status === 200) return { kind: 'accepted' };
  if (status === 409 || status === 412) return { kind: 'refused' };
  return status === 503 || status === 400 || status === 422
    ? { kind: 'no-effect' }
    : { kind: 'unclear' };
};

const answerToRead = (response: OperatorResponse | undefined): ConfigAnswer => {
  if (response?.status === 404) return { kind: 'value', version: 0, content: '' };
  const result = Value.safeParse(response?.status === 200 ? response.body : undefined);
  return result.success
    ? { kind: 'value', version: result.data.version, content: configDigest(result.data.text) }
    : { kind: 'no-effect' };
};

/** Sends operators' changes and reads of the configuration, and records them with their answers. */
export class ConfigCalls {
  private readonly recorded: ConfigCall[] = [];

  constructor(private readonly clock: Clock) {}

  get calls(): readonly ConfigCall[] {
    return this.recorded;
  }

  /** Sends a call and records it; until its answer arrives, the call is recorded as unanswered. */
  async record<T>(
    what: ConfigCall['what'],
    send: () => Promise<T>,
    answerOf: (result: T) => ConfigAnswer,
  ): Promise<T> {
    const call: ConfigCall = {
      what,
      calledAt: this.clock.now(),
      answeredAt: Infinity,
      answer: { kind: 'unclear' },
    };
    const index = this.recorded.push(call) - 1;
    const result = await send();
    this.recorded[index] = { ...call, answeredAt: this.clock.now(), answer: answerOf(result) };
    return result;
  }

  /** Sends a change. */
  put(text: string, send: SendOperation): Promise<OperatorResponse | undefined> {
    const { base, version = base + 1 } = Change.parse(JSON.parse(text));
    const digest = configDigest(text);
    const what = { kind: 'change' as const, changeId: digest, base, version, content: digest };
    return this.record(
      what,
      () => send({ method: 'PUT', path: '/v1/config', body: text }),
      (response) => answerToChange(response?.status ?? 0),
    );
  }

  /** Reads the configuration. */
  read(send: SendOperation): Promise<OperatorResponse | undefined> {
    return this.record(
      { kind: 'read' },
      () => send({ method: 'GET', path: '/v1/config', body: '' }),
      answerToRead,
    );
  }
}
