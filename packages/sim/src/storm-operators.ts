/** The operators of a storm: they change the configuration, race, send again what was lost, and send what is invalid. */
import type { ConfigRecord } from '@tillerstair/checker';
import type { OperatorRequest, OperatorResponse } from '@tillerstair/control';
import { z } from 'zod';
import { ConfigCalls } from './config-calls.js';
import type { Machine } from './machine.js';
import { invalidConfigs, stormConfig } from './storm-config.js';
import type { LostAnswers } from './storm-fault.js';
import type { World } from './world.js';

/** What operators of a storm need of it. */
export interface OperatorsOptions {
  readonly world: World;
  readonly delay: (ms: number) => Promise<void>;
  readonly track: (work: Promise<unknown>) => void;
  /** The controls that are up and not frozen. */
  readonly controls: () => readonly Machine[];
  /** Called with what must not happen. */
  readonly onProblem: (problem: string) => void;
}

type Send = (request: OperatorRequest) => Promise<OperatorResponse | undefined>;

const ConfigReply = z.object({ version: z.number(), text: z.string() });
const WrongBaseReply = z.object({ current: z.number() });

/** The version and the text of a configuration that was read. */
export type ReadConfig = z.infer<typeof ConfigReply>;

const operatorTimeoutMs = 25000;
const mostRoutes = 600;
const mostPadding = 1000;
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

/** Sends changes to the controls, and records what was answered. */
export class StormOperators {
  readonly configs: ConfigRecord[] = [];
  readonly calls: ConfigCalls;
  readonly lostAnswers: LostAnswers = { share: 0 };
  /** Called for each change that is sent, while set. */
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

  /** The configuration that a storm begins with. */
  static firstConfig(): string {
    return stormConfig({ base: 0, turnPools: firstPools, callPool, extraRouteCount: 0 });
  }

  /** Sends the first configuration, which is in force, once more, and records it. */
  async recordFirst(): Promise<void> {
    const text = StormOperators.firstConfig();
    const put = this.calls.put(text, this.sendTo(this.world.master));
    await this.world.clock.finish('the first configuration again', put, 20000);
    this.configs.push({
      version: 1,
      text,
      turnPools: firstPools,
      callPools: [callPool],
      sentAt: -1e9,
      reported: 'done',
      reportedAt: this.world.clock.now(),
    });
  }

  /** The newest version that was acknowledged. */
  get acknowledgedVersion(): number {
    const done = this.configs.filter((config) => config.reported === 'done');
    return Math.max(0, ...done.map((config) => config.version));
  }

  /** Reads the configuration at the master. */
  async readConfig(): Promise<ReadConfig | undefined> {
    return ConfigReply.safeParse((await this.world.operate('GET', '/v1/config')).body).data;
  }

  /** Sends a request to a control; undefined where no answer comes in time. */
  async operate(
    at: Machine | undefined,
    method: string,
    path: string,
    body = '',
  ): Promise<OperatorResponse | undefined> {
    const lost = this.options.delay(operatorTimeoutMs).then(() => undefined);
    return Promise.race([at?.control?.operate({ method, path, body }), lost]);
  }

  /** Sends a change with more routes, to a control of choice or any, and then an earlier one again. */
  async reconfigure(moreRoutes = 1, to?: Machine): Promise<void> {
    const { rng, clock } = this.world;
    const base = this.version;
    const turnPools = turnPoolChoices[Math.floor(rng() * turnPoolChoices.length)];
    this.extraRoutes = Math.min(mostRoutes, this.extraRoutes + moreRoutes);
    const variant = Math.floor(rng() * configVariants);
    const config = stormConfig({
      base,
      turnPools,
      callPool,
      extraRouteCount: this.extraRoutes,
      variant,
    });
    const text = config + ' '.repeat(Math.floor(rng() * mostPadding));
    const at = to ?? (rng() < 0.5 ? this.world.master : this.anyControl());
    const row: ConfigRecord = {
      version: base + 1,
      text,
      turnPools,
      callPools: [callPool],
      sentAt: clock.now(),
      reported: 'unknown',
      reportedAt: Infinity,
    };
    const index = this.configs.push(row) - 1;
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

  /** Sends one of the configurations that must be refused. */
  async sendInvalidConfig(n: number): Promise<void> {
    const sound = stormConfig({
      base: this.version,
      turnPools: firstPools,
      callPool,
      extraRouteCount: this.extraRoutes,
    });
    const invalid = invalidConfigs(sound, this.version);
    const { text, flaw } = invalid[n % invalid.length];
    const padding = ' '.repeat(1 + Math.floor(this.world.rng() * mostPadding));
    const at = this.anyControl();
    const response = await this.operate(at, 'PUT', '/v1/config', text + padding);
    if (response?.status === 200)
      this.options.onProblem(`an invalid configuration was accepted: ${flaw}`);
  }

  private anyControl(among = this.options.controls()): Machine | undefined {
    return among.at(Math.floor(this.world.rng() * among.length));
  }

  private sendTo(at: Machine | undefined): Send {
    return ({ method, path, body }) => this.operate(at, method, path, body);
  }

  /** Of several calls for one change, the strongest answer counts. */
  private recordReported(index: number, reported: ConfigRecord['reported']): void {
    const row = this.configs[index];
    const wasUnknown = row.reportedAt !== Infinity && row.reported === 'unknown';
    if (row.reported === 'done' || (wasUnknown && reported === 'refused')) return;
    this.configs[index] = { ...row, reported, reportedAt: this.world.clock.now() };
    if (reported === 'done') this.version = Math.max(this.version, row.version);
  }

  /** Sends a change again, to any control, that was accepted or may have been. */
  private async resendOne(): Promise<void> {
    const candidates = this.configs.filter((config) => config.reported !== 'refused');
    const earlier = candidates.at(Math.floor(this.world.rng() * candidates.length));
    if (!earlier) return;
    const index = this.configs.findIndex((config) => config.text === earlier.text);
    const response = await this.calls.put(earlier.text, this.sendTo(this.anyControl()));
    this.recordReported(index, reportedOf(response));
  }

  /** Sends a change as an operator does: where the answer is lost, again, to other machines first. */
  private async sendChange(
    first: Machine | undefined,
    text: string,
  ): Promise<OperatorResponse | undefined> {
    let at = first;
    let wasAccepted = false;
    for (let attempt = 0; attempt < changeAttempts; attempt++) {
      const asked = at;
      const answered = this.calls.put(text, this.sendTo(asked));
      this.onChange?.(asked, answered);
      const response = await answered;
      if (wasAccepted && response && response.status >= 400 && response.status < 500)
        this.options.onProblem(`an accepted change is refused: ${JSON.stringify(response)}`);
      if (this.world.rng() >= this.lostAnswers.share) return response;
      wasAccepted ||= response?.status === 200;
      at = this.anyControl(this.options.controls().filter((m) => m !== asked)) ?? at;
      await this.options.delay(100 + this.world.rng() * 400);
    }
    return undefined;
  }
}
