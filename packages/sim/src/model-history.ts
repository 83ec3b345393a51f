/**
 * Checks what clients and nodes of a model run report against the committed states. A finding names the rule that was
 * broken, so that runs can be counted by rule.
 */
import { versionOf, isNewerVersion, type StateVersion, type State } from '@tillerstair/state';

/** Rules that hold after every step of a run. */
export const modelRules = [
  'one master a term',
  'committed state is kept',
  'terms and versions never go back',
  'one vote a term',
  'acknowledged changes are committed',
  'one content a version',
  'refusals are true',
  'reads hold every acknowledged change',
  'serves again once healed',
] as const;
/** One of the rules of `modelRules`. */
export type ModelRule = (typeof modelRules)[number];

/** A broken rule, and a description of the evidence. */
export interface ModelFinding {
  readonly rule: ModelRule;
  readonly text: string;
}

/** A configuration that an operator sends, with the version that it is based on; the content of each one is unique. */
export interface SentConfig {
  readonly version: number;
  readonly base: number;
  readonly digest: string;
  readonly text: string;
}

/** The committed and the acknowledged version when a call began. */
export interface CallStart {
  readonly committedVersion: number;
  readonly hasConfig: boolean;
  readonly acknowledged: number;
}

const versionKey = (version: StateVersion): string => `${version.term}.${version.version}`;

const fingerprintOf = (state: State): string =>
  JSON.stringify([
    state.clusterId,
    state.config?.version,
    state.config?.digest,
    state.voters,
    [...state.nodes.keys()].sort(),
    [...state.servers.keys()].sort(),
  ]);

/** The committed states and acknowledged changes of one run, in the order in which they were observed. */
export class ModelHistory {
  readonly findings: ModelFinding[] = [];
  /** The newest committed state. */
  newest: State | undefined;
  private readonly seen = new WeakSet<State>();
  private readonly fingerprints = new Map<string, string>();
  private readonly masters = new Map<number, string>();
  private readonly contents = new Map<number, string>();
  private acknowledgedVersion = 0;
  private checks = 0;

  /** Number of checks so far. */
  get checked(): number {
    return this.checks;
  }

  /** Version of the newest committed configuration; 0 if there is none. */
  get committedVersion(): number {
    return this.newest?.config?.version ?? 0;
  }

  /** Adds a finding, unless it is known already. */
  addFinding(rule: ModelRule, text: string): void {
    if (this.findings.some((finding) => finding.rule === rule && finding.text === text)) return;
    this.findings.push({ rule, text });
  }

  /** The state of the history at the start of a call, for the check of its answer. */
  begin(): CallStart {
    return {
      committedVersion: this.committedVersion,
      hasConfig: this.newest?.config !== undefined,
      acknowledged: this.acknowledgedVersion,
    };
  }

  /** Records and checks a state that a node has committed. */
  committed(by: string, state: State): void {
    if (this.seen.has(state)) return;
    this.seen.add(state);
    this.checks++;
    const stateVersion = versionOf(state);
    const key = versionKey(stateVersion);
    const fingerprint = fingerprintOf(state);
    const known = this.fingerprints.get(key);
    if (known !== undefined) {
      if (known !== fingerprint)
        this.addFinding(
          'committed state is kept',
          `${by} has another state ${key}: ${fingerprint}, not ${known}`,
        );
      return;
    }
    this.fingerprints.set(key, fingerprint);
    const master = this.masters.get(state.term);
    if (master !== undefined && master !== state.master)
      this.addFinding('one master a term', `term ${state.term}: ${master} and ${state.master}`);
    this.masters.set(state.term, state.master);
    const { newest } = this;
    if (newest && !isNewerVersion(stateVersion, versionOf(newest))) {
      this.addFinding(
        'committed state is kept',
        `${by} committed state ${key} after ${versionKey(versionOf(newest))}`,
      );
      return;
    }
    this.advance(by, state);
  }

  private advance(by: string, state: State): void {
    const previousVersion = this.committedVersion;
    const { config } = state;
    if ((config?.version ?? 0) < previousVersion)
      this.addFinding(
        'committed state is kept',
        `${by} goes back from configuration ${previousVersion} to ${config?.version ?? 0}`,
      );
    this.newest = state;
    if (config) this.recordContent(config.version, config.digest, `committed by ${by}`);
  }

  private recordContent(version: number, digest: string, source: string): void {
    const known = this.contents.get(version);
    if (known !== undefined && known !== digest)
      this.addFinding(
        'one content a version',
        `version ${version}: ${known.slice(0, 6)} and ${digest.slice(0, 6)} (${source})`,
      );
    this.contents.set(version, known ?? digest);
  }

  /** Checks that an acknowledged change is committed. */
  acknowledged(config: SentConfig, by: string): void {
    this.checks++;
    if (this.committedVersion < config.version)
      this.addFinding(
        'acknowledged changes are committed',
        `${by} acknowledged version ${config.version}, the committed version is ${this.committedVersion}`,
      );
    this.recordContent(config.version, config.digest, `acknowledged by ${by}`);
    this.acknowledgedVersion = Math.max(this.acknowledgedVersion, config.version);
  }

  /** Checks a refusal because of another current version: the change must not be committed, nor its base current. */
  refused(config: SentConfig, by: string, start: CallStart, current: number | undefined): void {
    this.checks++;
    const now = this.committedVersion;
    const refusal = `${by} refused version ${config.version} on ${config.base} (${config.digest.slice(0, 6)})`;
    if (this.contents.get(config.version) === config.digest)
      this.addFinding('refusals are true', `${refusal}, which was committed`);
    else if (start.committedVersion === config.base && now === config.base)
      this.addFinding(
        'refusals are true',
        `${refusal}, although ${config.base} was current throughout the call`,
      );
    if (current !== undefined && (current < start.committedVersion || current > now))
      this.addFinding(
        'refusals are true',
        `${refusal} because ${current} is current; the committed version was ${start.committedVersion} to ${now}`,
      );
  }

  /** Checks a read that found a configuration, or none. */
  read(
    found: { readonly version: number; readonly digest: string } | undefined,
    by: string,
    start: CallStart,
  ): void {
    this.checks++;
    const version = found?.version ?? 0;
    const minVersion = Math.max(start.acknowledged, start.committedVersion);
    if (version < minVersion)
      this.addFinding(
        'reads hold every acknowledged change',
        `${by} read version ${version}, although ${minVersion} was committed before`,
      );
    if (version > this.committedVersion)
      this.addFinding(
        'reads hold every acknowledged change',
        `${by} read version ${version}, the committed version is ${this.committedVersion}`,
      );
    if (found) this.recordContent(found.version, found.digest, `read at ${by}`);
  }
}
