/** The operators of a storm: they send configuration changes, concurrent, repeated and invalid ones included. */
import type { ConfigRecord } from '@tillerstair/checker';
import type { OperatorRequest, OperatorResponse } from '@tillerstair/control';
import { z } from 'zod';
import { ConfigCalls } from './config-calls.js';
import type { Machine } from './machine.js';
import { recordingPools } from './sim-servers.js';
import { invalidConfigs, stormConfig } from './storm-config.js';
import type { LostAnswers } from './storm-fault.js';
import type { World } from './world.js';

/** Dependencies of `StormOperators`. */
export interface OperatorsOptions {
  readonly world: World;
  readonly delay: (ms: number) => Promise<void>;
  readonly track: (work: Promise<unknown>) => void;
  /** The controls that are up and not frozen. */
  readonly controls: () => readonly Machine[];
  /** Called with a description of each answer that violates a rule; the storm fails then. */
  readonly onProblem: (problem: string) => void;
}

type Send = (request: OperatorRequest) => Promise<OperatorResponse | undefined>;

const ConfigReply = z.object({ version: z.number(), text: z.string() });
const WrongBaseReply = z.object({ current: z.number() });

/** The version and the text of a configuration, as a control returns it. */
export type ReadConfig = z.infer<typeof ConfigReply>;

const operatorTimeoutMs = 25000;
const maxExtraRoutes = 600;
const maxPadding = 1000;
const configVariants = 30;
const changeAttempts = 5;
const firstPools = ['models'];
const callPool = 'shop';
const turnPoolChoices = [['models'], ['others'], ['models', 'others']];

const reportedOf = (response: OperatorResponse | undefined): ConfigRecord['reported'] => {
  if (response?.status === 200) return 'done';
  const isUnknown = response === undefined || response.status === 504 || response.status === 0;
  return isUnknown ? 'unknown' : 'refused';
};

/** Sends configuration changes to the controls, and records their outcomes. */
export class StormOperators {
  readonly configs: ConfigRecord[] = [];
  readonly calls: ConfigCalls;
  readonly lostAnswers: LostAnswers = { share: 0 };
  /** Called, if set, for each change that is sent, with the control and the pending answer. */
  onChange:
    | ((at: Machine | undefined, answered: Promise<OperatorResponse | undefined>) => void)
    | undefined;
  private readonly world: World;
  private version = 1;
  private extraRoutes = 0;

  constructor(private readonly options: OperatorsOptions) {
    this.world = options.world;
    this.calls = new ConfigCalls(this.world.clock);
  }

  /** The JSON text of the configuration that a storm starts with. */
  static firstConfig(): string {
    return stormConfig({ base: 0, turnPools: firstPools, callPool, extraRoutes: 0 });
  }

  /** Sends the first configuration, which is already in force, once more, and records it. */
  async recordFirst(): Promise<void> {
    const text = StormOperators.firstConfig();
    const put = this.calls.put(text, this.sendTo(this.world.master));
    await this.world.clock.finish('resending the first configuration', put, 20000);
    this.configs.push({
      version: 1,
      text,
      turnPools: firstPools,
      callPools: [callPool, ...recordingPools],
      sentAt: -1e9,
      reported: 'done',
      reportedAt: this.world.clock.now(),
    });
  }

  /** The newest acknowledged version; 0 if there is none. */
  get acknowledgedVersion(): number {
    const done = this.configs.filter((config) => config.reported === 'done');
    return Math.max(0, ...done.map((config) => config.version));
  }

  /** Reads the configuration from the master; undefined if it returns none. */
  async readConfig(): Promise<ReadConfig | undefined> {
    return ConfigReply.safeParse((await this.world.operate('GET', '/v1/config')).body).data;
  }

  /** Sends a request to a control; resolves with undefined if no answer arrives within 25 s or the control is down. */
  async operate(
    at: Machine | undefined,
    method: string,
    path: string,
    body = '',
  ): Promise<OperatorResponse | undefined> {
    const timedOut = this.options.delay(operatorTimeoutMs).then(() => undefined);
    return Promise.race([at?.control?.operate({ method, path, body }), timedOut]);
  }

  /** Sends a change that adds routes, to the control `to` or a random one, and then resends an earlier change. */
  async reconfigure(moreRoutes = 1, to?: Machine): Promise<void> {
    const { rng, clock } = this.world;
    const base = this.version;
    const turnPools = turnPoolChoices[Math.floor(rng() * turnPoolChoices.length)];
    this.extraRoutes = Math.min(maxExtraRoutes, this.extraRoutes + moreRoutes);
    const variant = Math.floor(rng() * configVariants);
    const config = stormConfig({
      base,
      turnPools,
      callPool,
      extraRoutes: this.extraRoutes,
      variant,
    });
    const text = config + ' '.repeat(Math.floor(rng() * maxPadding));
    const at = to ?? (rng() < 0.5 ? this.world.master : this.anyControl());
    const record: ConfigRecord = {
      version: base + 1,
      text,
      turnPools,
      callPools: [callPool, ...recordingPools],
      sentAt: clock.now(),
      reported: 'unknown',
      reportedAt: Infinity,
    };
    const index = this.configs.push(record) - 1;
    this.options.track(this.calls.read(this.sendTo(this.anyControl())));
    const response = await this.sendChange(at, text);
    const reported = reportedOf(response);
    this.recordReported(index, reported);
    if (reported !== 'done' && response?.status === 409) {
      const current = WrongBaseReply.safeParse(response.body).data?.current ?? 0;
      this.version = Math.max(this.version, current);
    }
    await this.resendOne();
  }

  /** Sends one of the invalid configurations; an acceptance is reported as a problem. */
  async sendInvalidConfig(choice: number): Promise<void> {
    const valid = stormConfig({
      base: this.version,
      turnPools: firstPools,
      callPool,
      extraRoutes: this.extraRoutes,
    });
    const invalid = invalidConfigs(valid, this.version);
    const { text, flaw } = invalid[choice % invalid.length];
    const padding = ' '.repeat(1 + Math.floor(this.world.rng() * maxPadding));
    const at = this.anyControl();
    const response = await this.operate(at, 'PUT', '/v1/config', text + padding);
    if (response?.status === 200)
      this.options.onProblem(
        `${at?.addr ?? 'a control'} accepted an invalid configuration: ${flaw}`,
      );
  }

  private anyControl(controls = this.options.controls()): Machine | undefined {
    return controls.at(Math.floor(this.world.rng() * controls.length));
  }

  private sendTo(at: Machine | undefined): Send {
    return ({ method, path, body }) => this.operate(at, method, path, body);
  }

  /** Records the outcome of a change; over several calls, `done` outranks `unknown`, and that outranks `refused`. */
  private recordReported(index: number, reported: ConfigRecord['reported']): void {
    const record = this.configs[index];
    const wasUnknown = record.reportedAt !== Infinity && record.reported === 'unknown';
    if (record.reported === 'done' || (wasUnknown && reported === 'refused')) return;
    this.configs[index] = { ...record, reported, reportedAt: this.world.clock.now() };
    if (reported === 'done') this.version = Math.max(this.version, record.version);
  }

  /** Resends a change that was accepted, or may have been, to a random control. */
  private async resendOne(): Promise<void> {
    const candidates = this.configs.filter((config) => config.reported !== 'refused');
    const earlier = candidates.at(Math.floor(this.world.rng() * candidates.length));
    if (!earlier) return;
    const index = this.configs.findIndex((config) => config.text === earlier.text);
    const response = await this.calls.put(earlier.text, this.sendTo(this.anyControl()));
    this.recordReported(index, reportedOf(response));
  }

  /** Sends a change, and resends it while the answer is lost, to another control if possible; at most five times. */
  private async sendChange(
    first: Machine | undefined,
    text: string,
  ): Promise<OperatorResponse | undefined> {
    let at = first;
    let wasAccepted = false;
    for (let attempt = 0; attempt < changeAttempts; attempt++) {
      const recipient = at;
      const answered = this.calls.put(text, this.sendTo(recipient));
      this.onChange?.(recipient, answered);
      const response = await answered;
      if (wasAccepted && response && response.status >= 400 && response.status < 500)
        this.options.onProblem(
          `a control refused a change that was accepted before: ${JSON.stringify(response)}`,
        );
      if (this.world.rng() >= this.lostAnswers.share) return response;
      wasAccepted ||= response?.status === 200;
      at =
        this.anyControl(this.options.controls().filter((machine) => machine !== recipient)) ?? at;
      await this.options.delay(100 + this.world.rng() * 400);
    }
    return undefined;
  }
}
