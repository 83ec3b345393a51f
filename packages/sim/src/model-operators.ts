/** The operators of a model run: they change and read the configuration, and the history checks every answer. */
import type { OperatorResponse } from '@tillerstair/control';
import { configDigest } from '@tillerstair/state';
import { z } from 'zod';
import type { Machine } from './machine.js';
import type { CallStart, ModelHistory, SentConfig } from './model-history.js';
import { stormConfig } from './storm-config.js';

const ConfigReply = z.object({ version: z.number(), text: z.string() });
const WrongBaseReply = z.object({ errorCode: z.literal('wrong-base'), current: z.number() });

type OnAnswer = (response: OperatorResponse, start: CallStart) => void;

/** Calls controls like clients. */
export class ModelOperators {
  private readonly sent: SentConfig[] = [];
  private answers: (() => void)[] = [];

  constructor(private readonly history: ModelHistory) {}

  /** Whether there is a change to resend. */
  get hasSent(): boolean {
    return this.sent.length > 0;
  }

  /** The change that was sent `offset` changes before the last one, modulo their number. */
  sentBefore(offset: number): SentConfig | undefined {
    return this.sent.at(-1 - (offset % this.sent.length));
  }

  /** A new change based on a version, with unique content. */
  configOn(base: number): SentConfig {
    const text =
      stormConfig({ base, turnPools: ['models'], callPool: 'shop', extraRoutes: 0 }) +
      ' '.repeat(this.sent.length + 1);
    const config = { version: base + 1, base, digest: configDigest(text), text };
    this.sent.push(config);
    return config;
  }

  /** Sends a change to a control. */
  put(machine: Machine, config: SentConfig): void {
    this.call(machine, { method: 'PUT', body: config.text }, (response, start) => {
      if (response.status === 200) {
        this.history.acknowledged(config, machine.addr);
        return;
      }
      if (response.status !== 409) return;
      const current = WrongBaseReply.safeParse(response.body).data?.current;
      this.history.refused(config, machine.addr, start, current);
    });
  }

  /** Reads the configuration from a control; `onRead` is called with its version. */
  read(machine: Machine, onRead: (version: number) => void = () => undefined): void {
    this.call(machine, { method: 'GET', body: '' }, (response, start) => {
      if (response.status === 404) this.history.read(undefined, machine.addr, start);
      if (response.status !== 200) return;
      const { version, text } = ConfigReply.parse(response.body);
      this.history.read({ version, digest: configDigest(text) }, machine.addr, start);
      onRead(version);
    });
  }

  /** Checks the answers that have arrived since the last call. */
  checkAnswers(): void {
    const { answers } = this;
    this.answers = [];
    for (const check of answers) check();
  }

  /** Sends a request to a control; a frozen control handles and answers it later, a dead one never. */
  private call(
    { control, incarnation }: Machine,
    request: { readonly method: string; readonly body: string },
    onAnswer: OnAnswer,
  ): void {
    if (!control) return;
    const start = this.history.begin();
    incarnation.do(() => {
      void control.operate({ ...request, path: '/v1/config' }).then(
        (response) => incarnation.do(() => this.answers.push(() => onAnswer(response, start))),
        () => undefined,
      );
    });
  }
}
